//! Slow but healthy streams, callers and uploads are served to their end; stalled ones
//! that send a byte now and then are ended.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::test;
use clementine_direct::Running;
use clementine_e2e::{ScriptedRequest, ScriptedServer, Step};
use common::{
    CallerResponse, list_server, send_request, send_request_with_headers, signed_head,
    start_configured_store, start_entry,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Number of events of a complete stream.
const EVENTS: u64 = 5;
/// Size of an event that fills the buffers between an entry and its caller.
const LARGE_EVENT_BYTES: usize = 512 * 1024;
/// Number of large events of a stream.
const LARGE_EVENTS: u64 = 40;
/// Time for which a slow caller reads nothing.
const CALLER_PAUSE: Duration = Duration::from_millis(3_500);

fn chunk(text: &str) -> Step {
    Step::send(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn stream_head(request: &ScriptedRequest) -> Step {
    Step::send(signed_head(request, 200, "transfer-encoding: chunked\r\n"))
}

fn last_event(request: &ScriptedRequest) -> u64 {
    request.header("last-event-id").parse().unwrap_or(0)
}

/// Steps of a stream whose events follow each other after `pause`, after the last event
/// that the request names.
fn events(request: &ScriptedRequest, pause: Duration) -> Vec<Step> {
    let mut steps = vec![stream_head(request)];
    for id in last_event(request) + 1..=EVENTS {
        steps.extend([Step::Wait(pause), chunk(&format!("id: {id}\ndata: {id}\n\n"))]);
    }
    steps.push(Step::send("0\r\n\r\n"));
    steps
}

/// Starts an entry with one server for each script. Only requests for streams reach the
/// scripts, and only those are counted.
async fn start(
    scripts: Vec<fn(&ScriptedRequest) -> Vec<Step>>,
) -> (Running, Vec<ScriptedServer>, Rc<Cell<u32>>) {
    let store = start_configured_store(0).await;
    let runs = Rc::new(Cell::new(0));
    let mut servers = Vec::new();
    for (n, script) in scripts.into_iter().enumerate() {
        let runs = Rc::clone(&runs);
        let server = ScriptedServer::start(move |request| {
            if !request.path().starts_with("/stream/") {
                return vec![Step::send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")];
            }
            runs.set(runs.get() + 1);
            script(request)
        })
        .await;
        list_server(&store, &format!("server-{n}"), "model", server.address);
        servers.push(server);
    }
    let entry = start_entry("one", &store).await;
    sleep(Duration::from_millis(300)).await;
    (entry, servers, runs)
}

fn event_ids(response: &CallerResponse) -> Vec<u64> {
    let lines = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().expect("numeric event ID")).collect()
}

/// Guards against the end of a stream whose pauses are longer than the silence after
/// which another attempt is considered. The fault cannot occur here: the last attempt
/// that the limits allow is never ended for its silence.
#[test]
async fn slow_stream_is_served_to_its_end() {
    let slow = |request: &ScriptedRequest| events(request, Duration::from_millis(900));
    let (entry, _servers, _) = start(vec![slow, slow]).await;
    let response = send_request(entry.callers, "POST", "/stream/x", "x").await;
    assert!(response.complete, "{response:?}");
    assert_eq!(event_ids(&response), (1..=EVENTS).collect::<Vec<_>>());
}

/// Sends a request for a stream and reads nothing for [`CALLER_PAUSE`].
async fn read_late(to: SocketAddr) -> Vec<u8> {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(16 * 1024).expect("receive buffer");
    let mut io = socket.connect(to).await.expect("the entry accepts connections");
    io.write_all(&stream_request("")).await.expect("the request is sent");
    sleep(CALLER_PAUSE).await;
    let mut response = Vec::new();
    let mut buf = vec![0; 256 * 1024];
    while !response.ends_with(b"0\r\n\r\n") {
        match timeout(Duration::from_secs(5), io.read(&mut buf)).await {
            Ok(Ok(read)) if read > 0 => response.extend_from_slice(&buf[..read]),
            _ => break,
        }
    }
    response
}

fn stream_request(lines: &str) -> Vec<u8> {
    let head = "POST /stream/x HTTP/1.1\r\nhost: h\r\nrequest-id: r-1\r\nx-api-key: key\r\n\
                token-count: 100,40\r\n";
    format!("{head}{lines}\r\n").into_bytes()
}

/// Guards against taking a caller that reads slowly for a dead one, or its server for
/// one that has fallen silent: the stream is neither reset nor run again.
#[test]
async fn caller_that_reads_late_gets_the_whole_stream_of_one_run() {
    let large = |request: &ScriptedRequest| {
        let mut steps = vec![stream_head(request)];
        for id in last_event(request) + 1..=LARGE_EVENTS {
            steps.push(chunk(&format!("id: {id}\ndata: {}\n\n", "x".repeat(LARGE_EVENT_BYTES))));
        }
        steps.push(Step::send("0\r\n\r\n"));
        steps
    };
    let (entry, _servers, runs) = start(vec![large, large]).await;
    let response = read_late(entry.callers).await;
    let complete = response.ends_with(b"0\r\n\r\n");
    let bytes = LARGE_EVENT_BYTES * LARGE_EVENTS as usize;
    assert!(complete && response.len() > bytes, "{} of {bytes} bytes", response.len());
    assert_eq!(runs.get(), 1, "nothing is sent again");
}

/// Repeats a text every 100 ms after the first two events.
fn stalled(request: &ScriptedRequest, text: &str) -> Vec<Step> {
    let mut steps = vec![stream_head(request)];
    for id in last_event(request) + 1..=2 {
        steps.push(chunk(&format!("id: {id}\ndata: {id}\n\n")));
    }
    for _ in 0..100 {
        steps.extend([Step::Wait(Duration::from_millis(100)), chunk(text)]);
    }
    steps
}

const BYTE_NOW_AND_THEN: fn(&ScriptedRequest) -> Vec<Step> = |request| stalled(request, "x");
const COMMENT_NOW_AND_THEN: fn(&ScriptedRequest) -> Vec<Step> = |request| stalled(request, ":\n\n");

/// Guards against a stalled run that looks alive because its server sends parts of an
/// event or comments: the stream goes on elsewhere.
#[test]
async fn stalled_stream_that_sends_bytes_is_resumed_elsewhere() {
    // Runs stall until the first resumption, whichever server is chosen.
    let bytes: fn(&ScriptedRequest) -> Vec<Step> = |request| match last_event(request) {
        0 => BYTE_NOW_AND_THEN(request),
        _ => events(request, Duration::ZERO),
    };
    let comments: fn(&ScriptedRequest) -> Vec<Step> = |request| match last_event(request) {
        0 => COMMENT_NOW_AND_THEN(request),
        _ => events(request, Duration::ZERO),
    };
    for (what, script) in [("bytes", bytes), ("comments", comments)] {
        let (entry, _servers, runs) = start(vec![script, script]).await;
        let started = Instant::now();
        let response = send_request(entry.callers, "POST", "/stream/x", "x").await;
        assert!(response.complete, "{what}: {:?}", event_ids(&response));
        assert_eq!(event_ids(&response), (1..=EVENTS).collect::<Vec<_>>(), "{what}");
        assert!(started.elapsed() < Duration::from_secs(2), "{what}: {:?}", started.elapsed());
        assert_eq!(runs.get(), 2, "{what}");
    }
}

/// Guards against a stalled stream that never ends because there is no other server.
/// The fault cannot occur here: the deadline ends it.
#[test]
async fn stalled_stream_without_an_alternative_ends_at_the_deadline() {
    for script in [BYTE_NOW_AND_THEN, COMMENT_NOW_AND_THEN] {
        let (entry, _servers, _) = start(vec![script]).await;
        let started = Instant::now();
        let headers = [("x-api-key", "key"), ("deadline-ms", "1200")];
        let response =
            send_request_with_headers(entry.callers, "POST", "/stream/x", "x", &headers).await;
        assert!(!response.complete);
        assert_eq!(event_ids(&response), [1, 2]);
        assert!(started.elapsed() < Duration::from_millis(1_800), "{:?}", started.elapsed());
    }
}

/// Sends a body in equal parts after `pause` each. Returns the status of the response.
async fn upload(to: SocketAddr, parts: usize, part: &[u8], pause: Duration) -> Option<u16> {
    let mut io = TcpStream::connect(to).await.expect("the entry accepts connections");
    let length = format!("content-length: {}\r\n", parts * part.len());
    io.write_all(&stream_request(&length)).await.expect("the head is sent");
    for _ in 0..parts {
        sleep(pause).await;
        if io.write_all(part).await.is_err() {
            break;
        }
        let mut buf = [0; 64];
        if let Ok(read) = io.try_read(&mut buf) {
            return status(&buf[..read]);
        }
    }
    let mut buf = [0; 64];
    let read = io.read(&mut buf).await.ok()?;
    status(&buf[..read])
}

fn status(response: &[u8]) -> Option<u16> {
    String::from_utf8_lossy(response).split(' ').nth(1)?.parse().ok()
}

/// Guards against a body that comes byte by byte without end, which holds a connection
/// and a planned shutdown.
#[test]
async fn body_that_comes_byte_by_byte_is_given_up() {
    let (entry, _servers, runs) = start(vec![|request| events(request, Duration::ZERO)]).await;
    let started = Instant::now();
    let status = upload(entry.callers, 100, b"x", Duration::from_millis(100)).await;
    assert_eq!(status, Some(408));
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    assert_eq!(runs.get(), 0);
}

/// Guards against a time limit that ends a slow but steady upload.
#[test]
async fn slow_but_steady_body_is_read_to_its_end() {
    let (entry, _servers, runs) = start(vec![|request| events(request, Duration::ZERO)]).await;
    let status = upload(entry.callers, 16, &[b'x'; 1024], Duration::from_millis(250)).await;
    assert_eq!((status, runs.get()), (Some(200), 1));
}
