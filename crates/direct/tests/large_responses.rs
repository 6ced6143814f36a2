//! Large responses, whose callers take their time.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::test;
use clementine_e2e::{ScriptedRequest, ScriptedServer, Step};
use common::{
    EntryProcess, list_server, send_request, signed_head, start_configured_store, start_entry,
    wait_until,
};
use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::sleep;

const MIB: usize = 1024 * 1024;
/// Size of each response.
const BODY_BYTES: usize = 3 * MIB;
/// Callers at once, whose responses exceed the memory of the entry together.
const CALLERS: usize = 15;
/// Requests of each caller, one after another. The system holds the first response.
const REQUESTS: usize = 2;
/// Memory that the platform grants the entry, in MB.
const MEMORY_MB: u32 = 64;
/// Time for which callers read nothing.
const PAUSE: Duration = Duration::from_secs(1);
/// Size of a caller's receive buffer, so that the system holds little of a response.
const RECEIVE_BYTES: u32 = 16 * 1024;

fn large_response(request: &ScriptedRequest, chunked: bool) -> Vec<Step> {
    let (framing, size, end) = if chunked {
        ("transfer-encoding: chunked\r\n".into(), format!("{BODY_BYTES:x}\r\n"), "\r\n0\r\n\r\n")
    } else {
        (format!("content-length: {BODY_BYTES}\r\n"), String::new(), "")
    };
    let body = "x".repeat(BODY_BYTES);
    vec![Step::send(signed_head(request, 200, &framing) + &size + &body + end)]
}

/// Sends requests on a connection, and reads their responses after a pause. Returns the
/// status lines and the number of bytes received.
async fn receive_slowly(to: SocketAddr, caller: usize) -> (Vec<String>, usize) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a smaller buffer");
    let mut io = socket.connect(to).await.expect("connect");
    for n in 0..REQUESTS {
        let id = caller * REQUESTS + n;
        let connection = if n + 1 == REQUESTS { "close" } else { "keep-alive" };
        let request = format!(
            "POST /once/x HTTP/1.1\r\nhost: h\r\nx-api-key: key\r\nrequest-id: {id:016x}\r\n\
             deadline-ms: 20000\r\ntoken-count: 100,40\r\ncontent-length: 1\r\n\
             connection: {connection}\r\n\r\nx"
        );
        io.write_all(request.as_bytes()).await.expect("sent");
    }
    sleep(PAUSE).await;
    let mut received = Vec::new();
    io.read_to_end(&mut received).await.expect("an orderly end");
    let lines = received.split(|byte| *byte == b'\n').map(String::from_utf8_lossy);
    let lines = lines.filter_map(|line| Some(line.split_once("HTTP/1.1 ")?.1.trim().to_owned()));
    (lines.collect(), received.len())
}

async fn assert_responses_fit_into_the_memory(chunked: bool) {
    let store = start_configured_store(0).await;
    let server = ScriptedServer::start(move |request| large_response(request, chunked)).await;
    list_server(&store, "large", "plain", server.address);
    let entry = EntryProcess::start_with_memory(
        "large-responses",
        "a",
        u64::from(chunked),
        &store,
        MEMORY_MB,
    )
    .await;
    let to = entry.callers_address().expect("the entry runs");
    wait_until("the entry serves", async || {
        send_request(to, "POST", "/safe/x", "x").await.status == 200
    })
    .await;
    let responses = join_all((0..CALLERS).map(|n| receive_slowly(to, n))).await;
    let mut peak = 0;
    entry.with_process(|process| peak = process.peak_memory());
    for (lines, bytes) in responses {
        assert_eq!(lines, ["200 OK"; REQUESTS]);
        assert!(bytes > REQUESTS * BODY_BYTES, "{bytes} bytes");
    }
    let peak_mb = peak / 1_000_000;
    assert!(peak_mb < u64::from(MEMORY_MB), "{peak_mb} MB with chunked {chunked}");
}

/// Guards against responses that exceed the memory of the process together: it is killed,
/// and with it the requests that servers run for it.
#[test]
async fn responses_fit_into_the_memory_of_the_process() {
    assert_responses_fit_into_the_memory(false).await;
    assert_responses_fit_into_the_memory(true).await;
}

/// Guards against taking the length that a response to HEAD names for that of its body.
#[test]
async fn response_to_head_may_name_any_length() {
    let store = start_configured_store(0).await;
    let server = ScriptedServer::start(|request| {
        vec![Step::send(signed_head(request, 200, "content-length: 100000000\r\n"))]
    })
    .await;
    list_server(&store, "large", "plain", server.address);
    let entry = start_entry("one", &store).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(send_request(entry.callers, "HEAD", "/safe/x", "").await.status, 200);
}
