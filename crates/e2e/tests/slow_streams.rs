//! Stalled streams and uploads that send a byte now and then end at the deadline; callers
//! that read late get the whole stream.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementine_e2e::{API_TOKEN, Cluster, ClusterSpec, RecordFile, ScriptedServer, Step};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

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

/// Guards against taking a caller that reads late for a dead one, or its server for one
/// that has fallen silent. The fault cannot occur here: the agent and the entry wait for
/// the caller until the deadline.
#[actix_rt::test]
async fn caller_that_reads_late_gets_the_whole_stream_of_one_run() {
    const EVENTS: usize = 40;
    let runs = Rc::new(Cell::new(0));
    let counted = Rc::clone(&runs);
    let server = ScriptedServer::start(move |_| {
        counted.set(counted.get() + 1);
        let text = "x".repeat(512 * 1024);
        let event = format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n");
        let chunk = Step::send(format!("{:x}\r\n{event}\r\n", event.len()));
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let mut steps = vec![Step::send(head)];
        steps.extend(vec![chunk; EVENTS]);
        steps.push(Step::send("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"));
        steps
    })
    .await;
    let cluster =
        Cluster::start(ClusterSpec::new(1).backend_at("assistants", server.address)).await;
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(16 * 1024).expect("receive buffer");
    let mut io = socket.connect(cluster.entries[0].address).await.expect("connects");
    let body = r#"{"model":"key-advisor","stream":true,"messages":[]}"#;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {API_TOKEN}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    io.write_all(head.as_bytes()).await.expect("the request is sent");
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let mut response = Vec::new();
    let read = io.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(10), read).await;
    let end = String::from_utf8_lossy(&response[response.len().saturating_sub(40)..]).into_owned();
    assert!(
        end.contains("[DONE]") && end.ends_with("0\r\n\r\n"),
        "{} bytes: {end}",
        response.len()
    );
    assert_eq!(runs.get(), 1, "nothing is sent again");
}
