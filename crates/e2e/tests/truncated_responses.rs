//! A response of a backend server that breaks off partway never reaches a caller of the
//! entry as a complete success, however its end is marked.

use std::time::Duration;

use clementine_e2e::{Cluster, ClusterSpec, ScriptedServer, Step};

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Starts a server that sends one response and then ends the connection.
async fn start(lines: &str, body: &str, end: Step) -> (ScriptedServer, Cluster) {
    let response = format!("HTTP/1.1 200 OK\r\n{lines}\r\n{body}");
    // The agent reads what was sent before a reset discards it.
    start_steps(vec![Step::send(response), Step::Wait(Duration::from_millis(30)), end]).await
}

async fn start_steps(steps: Vec<Step>) -> (ScriptedServer, Cluster) {
    let server = ScriptedServer::start(move |_| steps.clone()).await;
    let spec = ClusterSpec::new(1)
        .backend_at("orders", server.address)
        .backend_at("assistants", server.address);
    let cluster = Cluster::start(spec).await;
    (server, cluster)
}

/// Guards against a part of a response, or an empty one, that is delivered as a success.
#[actix_rt::test]
async fn broken_response_is_no_success() {
    let cases = [
        ("content-length: 9\r\n", "part", Step::Close),
        ("content-length: 9\r\n", "part", Step::Reset),
        (CHUNKED, "4\r\npart\r\n", Step::Close),
        (CHUNKED, "4\r\npart\r\n", Step::Reset),
        (CHUNKED, "9\r\npart", Step::Close),
        ("", "part", Step::Reset),
    ];
    for (lines, body, end) in cases {
        let what = format!("{lines:?}, {end:?}");
        let (_server, cluster) = start(lines, body, end).await;
        let order = cluster.client(0).order("k", "{}").await.expect("no response");
        assert_eq!(order.outcome, "unknown", "{what}: {order:?}");
        let headers = [("clementine-deadline", "1s")];
        let lookup = cluster.client(0).send("GET", "/stock/x", &headers, "").await;
        assert_eq!(lookup.expect("no response").outcome, "unknown", "{what}");
    }
}

/// Guards against an empty body where the end of the connection marks the end: the
/// response reaches the caller as a whole.
#[actix_rt::test]
async fn body_that_ends_with_its_connection_is_delivered() {
    let (_server, cluster) = start("", "whole", Step::Close).await;
    let order = cluster.client(0).order("k", "{}").await.expect("no response");
    assert_eq!((order.outcome.as_str(), &order.body[..]), ("ran", &b"whole"[..]));
    for _ in 0..3 {
        let lookup = cluster.client(0).lookup().await.expect("no response");
        assert_eq!((lookup.outcome.as_str(), &lookup.body[..]), ("ran", &b"whole"[..]));
    }
}

/// Guards against a stream whose last event is cut off and whose end looks proper.
#[actix_rt::test]
async fn stream_that_ends_inside_an_event_reports_an_error() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let token = r#"data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}"#;
    let token = format!("{token}\n\n");
    let part = "data: {\"cho";
    for chunked in [true, false] {
        let body = |text: &str| {
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if chunked { chunk } else { text.to_owned() }
        };
        let (lines, end) = if chunked { (CHUNKED, "0\r\n\r\n") } else { ("", "") };
        let (_server, cluster) = start_steps(vec![
            Step::send(format!("{head}{lines}\r\n{}", body(&token))),
            // The caller receives the first event before the rest arrives.
            Step::Wait(Duration::from_millis(400)),
            Step::send(body(part) + end),
            Step::Close,
        ])
        .await;
        let stream = cluster.client(0).stream_chat("key-advisor", "Which?", 4, |_| {}).await;
        let stream = stream.expect("no stream");
        assert!(!stream.done && stream.error.is_some(), "chunked: {chunked}: {stream:?}");
    }
}
