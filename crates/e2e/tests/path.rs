//! The whole path without faults.

use clementine_e2e::{Hub, HubPlan, RecordFile};

#[actix_rt::test]
async fn serves_each_sort_of_request() {
    let record = RecordFile::new("path");
    let plan = HubPlan::new(2)
        .engines(2, "0ms")
        .stages("halves-first", 1, "0-15", "0ms")
        .stages("halves-last", 1, "16-31", "0ms")
        .services(2, record.path(), "0ms");
    let hub = Hub::start(plan).await;
    let caller = hub.caller(0);

    let whole = caller.chat("key-advisor", "Which blank?", 12).await.expect("an answer");
    assert_eq!((whole.status, whole.outcome.as_str()), (200, "ran"));
    let streamed = caller.stream_chat("key-advisor", "Which blank?", 12, |_| {}).await;
    let streamed = streamed.expect("a stream");
    assert!(streamed.done);
    assert_eq!((streamed.tokens, &streamed.text), (12, &whole.chat_text()));

    let split = hub.caller(1).chat("key-advisor-large", "Which blank?", 12).await;
    assert_eq!(split.expect("an answer").chat_text(), whole.chat_text());

    let stock = caller.lookup().await.expect("an answer");
    assert_eq!((stock.status, stock.outcome.as_str()), (200, "ran"));

    let first = caller.order("k1", "{}").await.expect("an answer");
    let second = hub.caller(1).order("k1", "{}").await.expect("an answer");
    assert_eq!((first.status, first.outcome.as_str()), (200, "ran"));
    assert_eq!(first.body, second.body);
    assert_eq!(record.runs_of("k1"), 1);
}

/// Method, path, headers and body; the expected status and error code.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

#[actix_rt::test]
async fn refuses_what_it_must() {
    let record = RecordFile::new("refusals");
    let hub = Hub::start(HubPlan::new(1).engines(1, "0ms").services(1, record.path(), "0ms")).await;
    let caller = hub.caller(0);
    let chat = "/v1/chat/completions";
    let large = format!("{{\"model\":\"key-advisor\",\"messages\":\"{}\"}}", "x".repeat(2 << 20));
    let body_too_large = "x".repeat(5 << 20);
    let ok = r#"{"model":"key-advisor","messages":[{"role":"user","content":"a"}]}"#;
    let no_model = r#"{"model":"key-adviser","messages":[]}"#;
    let cases: [Case<'_>; 12] = [
        ("POST", chat, &[], "{", 400, "invalid_request"),
        ("POST", chat, &[], "", 400, "invalid_request"),
        ("POST", chat, &[], r#"{"model":"key-advisor"}"#, 400, "invalid_request"),
        ("POST", chat, &[], no_model, 404, "not_found"),
        ("POST", chat, &[], &large, 413, "too_large"),
        ("POST", chat, &[], &body_too_large, 413, "too_large"),
        ("POST", chat, &[("clementine-deadline", "soon")], ok, 400, "invalid_request"),
        ("POST", chat, &[("clementine-priority", "none")], ok, 400, "invalid_request"),
        ("GET", "/nowhere", &[], "", 404, "not_found"),
        ("POST", "/orders/cut", &[], "{}", 400, "idempotency_key_missing"),
        ("GET", "/stock", &[("x-long", &"y".repeat(20_000))], "", 413, "too_large"),
        ("POST", "/orders/cut", &[("idempotency-key", &"k".repeat(300))], "{}", 413, "too_large"),
    ];
    for (method, path, headers, body, status, code) in cases {
        let answer = caller.send(method, path, headers, body).await.expect("an answer");
        assert_eq!(
            (answer.status, answer.error_code().as_str()),
            (status, code),
            "{path} {status}"
        );
        assert_eq!(answer.outcome, "not-run");
    }
    let stranger = clementine_e2e::Caller::new(hub.entries[0].address, "wrong");
    let answer = stranger.lookup().await.expect("an answer");
    assert_eq!((answer.status, answer.error_code().as_str()), (401, "invalid_token"));
}
