//! Stalled streams and uploads that send a byte now and then end at the deadline.

use std::time::{Duration, Instant};

use clementine_e2e::{API_TOKEN, Cluster, ClusterSpec, RecordFile, ScriptedServer, Step};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request and reads the response until the connection ends. Sends a byte of
/// the body every 200 ms if `trickle`.
async fn exchange(cluster: &Cluster, head: &str, body: &str, trickle: bool) -> String {
    let mut io = TcpStream::connect(cluster.entries[0].address).await.expect("connects");
    let common = format!("host: h\r\nauthorization: Bearer {API_TOKEN}\r\nconnection: close");
    let head = format!("{head}\r\n{common}\r\ncontent-length: {}\r\n\r\n", body.len());
    io.write_all(head.as_bytes()).await.expect("the head is sent");
    let (mut read, mut write) = io.into_split();
    let body = body.to_owned();
    let sending = actix_rt::spawn(async move {
        for part in body.as_bytes().chunks(if trickle { 1 } else { body.len() }) {
            if write.write_all(part).await.is_err() {
                break;
            }
            if trickle {
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        std::future::pending::<()>().await;
    });
    let mut response = Vec::new();
    let limit = Duration::from_secs(12);
    let _ = tokio::time::timeout(limit, read.read_to_end(&mut response)).await;
    sending.abort();
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against a stream that never ends because its server sends bytes without the
/// end of an event. The fault cannot occur here: the agent ends the run at the deadline.
#[actix_rt::test]
async fn stalled_stream_ends_at_the_deadline() {
    for text in ["x", ":\n\n"] {
        let server = ScriptedServer::start(move |_| {
            let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                        transfer-encoding: chunked\r\n\r\n";
            let mut steps = vec![Step::send(head)];
            for _ in 0..200 {
                let chunk = Step::send(format!("{:x}\r\n{text}\r\n", text.len()));
                steps.extend([Step::Wait(Duration::from_millis(100)), chunk]);
            }
            steps
        })
        .await;
        let spec = ClusterSpec::new(1).backend_at("assistants", server.address);
        let cluster = Cluster::start(spec).await;
        let started = Instant::now();
        let head = "POST /v1/chat/completions HTTP/1.1\r\nclementine-deadline: 1s";
        let body = r#"{"model":"key-advisor","stream":true,"messages":[]}"#;
        let response = exchange(&cluster, head, body, false).await;
        assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
        assert!(!response.contains("[DONE]"), "{response}");
    }
}

/// Guards against a body that comes byte by byte without end, which holds a connection
/// and a planned shutdown of the entry.
#[actix_rt::test]
async fn body_that_comes_byte_by_byte_is_given_up() {
    let record = RecordFile::new("slow-body");
    let cluster = Cluster::start(ClusterSpec::new(1).services(1, record.path(), "0ms")).await;
    let started = Instant::now();
    let head = "POST /orders/cut HTTP/1.1\r\nidempotency-key: k\r\nclementine-deadline: 1s";
    let response = exchange(&cluster, head, &"x".repeat(1_000), true).await;
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    assert_eq!(record.run_count("k"), 0);
}
