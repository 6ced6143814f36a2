//! Requests through entry, agent and backend server without injected faults.

use clementine_e2e::{Cluster, ClusterSpec, RecordFile};

#[actix_rt::test]
async fn serves_each_kind_of_request() {
    let record = RecordFile::new("path");
    let spec = ClusterSpec::new(2)
        .engines(2, "0ms")
        .stages("halves-first", 1, "0-15", "0ms")
        .stages("halves-last", 1, "16-31", "0ms")
        .services(2, record.path(), "0ms");
    let cluster = Cluster::start(spec).await;
    let client = cluster.client(0);

    let buffered = client.chat("key-advisor", "Which blank?", 12).await.expect("no response");
    assert_eq!((buffered.status, buffered.outcome.as_str()), (200, "ran"));
    let streamed = client.stream_chat("key-advisor", "Which blank?", 12, |_| {}).await;
    let streamed = streamed.expect("stream did not start");
    assert!(streamed.done);
    assert_eq!((streamed.tokens, &streamed.text), (12, &buffered.chat_text()));

    let split = cluster.client(1).chat("key-advisor-large", "Which blank?", 12).await;
    assert_eq!(split.expect("no response").chat_text(), buffered.chat_text());

    let stock = client.lookup().await.expect("no response");
    assert_eq!((stock.status, stock.outcome.as_str()), (200, "ran"));

    let first = client.order("k1", "{}").await.expect("no response");
    let second = cluster.client(1).order("k1", "{}").await.expect("no response");
    assert_eq!((first.status, first.outcome.as_str()), (200, "ran"));
    assert_eq!(first.body, second.body);
    assert_eq!(record.run_count("k1"), 1);
}

/// Method, path, headers, body, expected status and expected error code.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

#[actix_rt::test]
async fn invalid_requests_get_the_matching_error_and_do_not_run() {
    let record = RecordFile::new("refusals");
    let cluster =
        Cluster::start(ClusterSpec::new(1).engines(1, "0ms").services(1, record.path(), "0ms"))
            .await;
    let client = cluster.client(0);
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
        let response = client.send(method, path, headers, body).await.expect("no response");
        assert_eq!(
            (response.status, response.error_code().as_str()),
            (status, code),
            "{path} {status}"
        );
        assert_eq!(response.outcome, "not-run");
    }
    let unauthorized = clementine_e2e::ApiClient::new(cluster.entries[0].address, "wrong");
    let response = unauthorized.lookup().await.expect("no response");
    assert_eq!((response.status, response.error_code().as_str()), (401, "invalid_token"));
}

/// Sends raw bytes and returns the first part of the response; empty if none arrives
/// within 5 s.
async fn send_raw(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("failed to connect");
    let _ = stream.write_all(bytes).await;
    let mut buffer = vec![0; 1_024];
    let read = tokio::time::timeout(std::time::Duration::from_secs(5), stream.read(&mut buffer));
    let length = read.await.map_or(0, |read| read.unwrap_or(0));
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[actix_rt::test]
async fn malformed_http_gets_a_client_error() {
    let cluster = Cluster::start(ClusterSpec::new(1).engines(1, "0ms")).await;
    let entry = cluster.entries[0].address;
    let cases: [&[u8]; 6] = [
        b"no http at all\r\n\r\n",
        b"GET /v1/models HTTP/1.1\r\nbad header\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\ncontent-length: many\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        b"GET /\x00 HTTP/1.1\r\nhost: a\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nauthorization: Bearer kiosk-demo-token\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ];
    for case in cases {
        let response = send_raw(entry, case).await;
        assert!(response.starts_with("HTTP/1.1 4"), "{response:?} to {}", case.escape_ascii());
    }
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(200_000));
    let response = send_raw(entry, long.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 4"), "{response:?} to an oversized request head");
    let response = cluster.client(0).chat("key-advisor", "Which?", 2).await.expect("no response");
    assert_eq!(response.outcome, "ran");
}
