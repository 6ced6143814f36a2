//! A response that breaks off partway never reaches the caller as a complete success,
//! however its end is marked.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::test;
use clementine_e2e::{ScriptedRequest, ScriptedServer, Step};
use common::{
    CallerResponse, list_server, send_request, signed_head, start_configured_store, start_entry,
};
use tokio::time::sleep;

const CHUNKED: &str = "transfer-encoding: chunked\r\n";
/// Time for an entry to read what was sent before a reset discards it.
const BEFORE_RESET: Duration = Duration::from_millis(30);

/// Sends a head and the beginning of a body, and then ends the connection.
fn broken(request: &ScriptedRequest, lines: &str, body: &str, end: Step) -> Vec<Step> {
    let response = signed_head(request, 200, lines) + body;
    vec![Step::send(response), Step::Wait(BEFORE_RESET), end]
}

type Script = fn(&ScriptedRequest) -> Vec<Step>;

/// The ways in which a response that is read as a whole breaks off.
const BROKEN: [(&str, Script); 8] = [
    ("length, closed", |r| broken(r, "content-length: 9\r\n", "part", Step::Close)),
    ("length, reset", |r| broken(r, "content-length: 9\r\n", "part", Step::Reset)),
    ("no body, closed", |r| broken(r, "content-length: 9\r\n", "", Step::Close)),
    ("chunks, closed", |r| broken(r, CHUNKED, "4\r\npart\r\n", Step::Close)),
    ("chunks, reset", |r| broken(r, CHUNKED, "4\r\npart\r\n", Step::Reset)),
    ("within a chunk", |r| broken(r, CHUNKED, "9\r\npart", Step::Close)),
    ("within the last chunk", |r| broken(r, CHUNKED, "4\r\npart\r\n0\r\n", Step::Close)),
    ("end of the connection, reset", |r| broken(r, "", "part", Step::Reset)),
];

/// Sends a request to an entry with one server for each script.
async fn send_to(path: &'static str, scripts: Vec<Script>) -> (CallerResponse, u32) {
    let store = start_configured_store(0).await;
    let runs = Rc::new(Cell::new(0));
    let pool = if path.starts_with("/stream/") { "model" } else { "plain" };
    for (n, script) in scripts.into_iter().enumerate() {
        let counted = Rc::clone(&runs);
        let server = ScriptedServer::start(move |request| {
            if request.header("request-id").is_empty() {
                return vec![Step::send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")];
            }
            counted.set(counted.get() + 1);
            script(request)
        })
        .await;
        list_server(&store, &format!("server-{n}"), pool, server.address);
    }
    let entry = start_entry("one", &store).await;
    sleep(Duration::from_millis(200)).await;
    (send_request(entry.callers, "POST", path, "x").await, runs.get())
}

/// Guards against relaying the part that was received as the whole. The fault cannot
/// occur here: the response is read to its end before it is relayed, and a reset is told
/// apart from the end of the connection.
#[test]
async fn broken_response_is_an_error() {
    for (what, script) in BROKEN {
        for path in ["/once/x", "/safe/x"] {
            let (response, runs) = send_to(path, vec![script]).await;
            assert_eq!((response.status, response.complete), (502, true), "{path} {what}");
            assert_eq!(runs, 1, "{path} {what}");
        }
    }
}

/// Guards against reading no body after a transfer coding that marks no end. The body
/// then ends with the connection.
#[test]
async fn body_with_the_identity_coding_ends_with_the_connection() {
    let whole: Script = |r| broken(r, "transfer-encoding: identity\r\n", "whole", Step::Close);
    let (response, _) = send_to("/once/x", vec![whole]).await;
    let relayed = (response.status, response.body.as_str()) == (200, "whole");
    assert!(relayed || response.status == 502, "{response:?}");
    let reset: Script = |r| broken(r, "transfer-encoding: identity\r\n", "part", Step::Reset);
    let (response, _) = send_to("/once/x", vec![reset]).await;
    assert_eq!(response.status, 502, "{response:?}");
}

const TWO_EVENTS: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";

fn broken_stream(request: &ScriptedRequest, chunked: bool, end: Step) -> Vec<Step> {
    if request.header("last-event-id").is_empty() {
        return if chunked {
            let chunk = format!("{:x}\r\n{TWO_EVENTS}\r\n", TWO_EVENTS.len());
            broken(request, CHUNKED, &chunk, end)
        } else {
            broken(request, "", TWO_EVENTS, end)
        };
    }
    vec![Step::send(signed_head(request, 200, CHUNKED) + "f\r\nid: 3\ndata: 3\n\n\r\n0\r\n\r\n")]
}

/// The ways in which a stream breaks off between two events.
const BROKEN_STREAMS: [(&str, Script); 3] = [
    ("chunks, closed", |r| broken_stream(r, true, Step::Close)),
    ("chunks, reset", |r| broken_stream(r, true, Step::Reset)),
    ("end of the connection, reset", |r| broken_stream(r, false, Step::Reset)),
];

/// Guards against ending the caller's stream where a run broke off between two events.
/// The fault cannot occur here: the stream is resumed after the last event.
#[test]
async fn stream_that_breaks_off_between_events_is_resumed() {
    for (what, script) in BROKEN_STREAMS {
        let (response, runs) = send_to("/stream/x", vec![script, script]).await;
        assert!(response.complete, "{what}: {response:?}");
        assert_eq!(response.body, format!("{TWO_EVENTS}id: 3\ndata: 3\n\n"), "{what}");
        assert_eq!(runs, 2, "{what}");
    }
}

/// Guards against a proper end of the caller's stream that cannot be resumed. The fault
/// cannot occur here: the caller's connection ends without the last chunk.
#[test]
async fn stream_that_breaks_off_for_good_does_not_look_complete() {
    let broken: Script = |r| {
        let chunk = format!("{:x}\r\n{TWO_EVENTS}\r\n", TWO_EVENTS.len());
        match r.header("last-event-id") {
            "" => broken(r, CHUNKED, &chunk, Step::Reset),
            _ => vec![Step::Reset],
        }
    };
    let (response, _) = send_to("/stream/x", vec![broken, broken]).await;
    assert_eq!(response.body, TWO_EVENTS);
    assert!(!response.complete);
}

/// Sends two events and breaks off; a request to go on gets this response.
fn resumed_with(request: &ScriptedRequest, response: String) -> Vec<Step> {
    if request.header("last-event-id").is_empty() {
        let chunk = format!("{:x}\r\n{TWO_EVENTS}\r\n", TWO_EVENTS.len());
        return broken(request, CHUNKED, &chunk, Step::Reset);
    }
    vec![Step::send(response), Step::Wait(BEFORE_RESET), Step::Close]
}

/// Headers of an error's body that looks like events, which it must not pass for.
const EVENT_LINES: &str = "content-type: text/event-stream\r\ncontent-length: 22\r\n";
/// Body of an error that looks like the next event.
const ERROR_EVENT: &str = "id: 3\ndata: error 500\n\n";

/// Errors with which another server answers a stream that goes on.
const ERRORS_AFTER_EVENTS: [(&str, Script); 8] = [
    ("500", |r| resumed_with(r, signed_head(r, 500, "content-length: 5\r\n") + "error")),
    ("500 as events", |r| resumed_with(r, signed_head(r, 500, EVENT_LINES) + ERROR_EVENT)),
    ("500 to the end", |r| resumed_with(r, signed_head(r, 500, "") + ERROR_EVENT)),
    ("404", |r| resumed_with(r, signed_head(r, 404, "content-length: 5\r\n") + "error")),
    ("503, executed", |r| resumed_with(r, signed_head(r, 503, "content-length: 5\r\n") + "error")),
    ("503, not executed", |r| {
        resumed_with(r, signed_head(r, 503, "not-executed: 1\r\ncontent-length: 5\r\n") + "error")
    }),
    ("200 without a seal", |r| {
        let id = r.header("request-id");
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{EVENT_LINES}\r\n");
        resumed_with(r, head + ERROR_EVENT)
    }),
    ("no HTTP", |r| resumed_with(r, ERROR_EVENT.into())),
];

/// Guards against the text or the head of an error in the middle of a stream, and
/// against a stream that ends there as if it were complete.
#[test]
async fn error_of_the_next_server_is_not_part_of_a_stream_that_has_begun() {
    for (what, script) in ERRORS_AFTER_EVENTS {
        let (response, runs) = send_to("/stream/x", vec![script, script]).await;
        assert!(runs >= 2, "{what}: another server was asked");
        assert_eq!((response.status, response.body.as_str()), (200, TWO_EVENTS), "{what}");
        assert!(!response.complete, "{what}");
    }
}

/// Guards against an error that the first server writes into its own stream.
#[test]
async fn head_of_an_error_within_a_stream_ends_the_attempt() {
    let written: Script = |r| {
        let chunk = format!("{:x}\r\n{TWO_EVENTS}\r\n", TWO_EVENTS.len());
        let text = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror";
        broken(r, CHUNKED, &(chunk + text), Step::Close)
    };
    let (response, _) = send_to("/stream/x", vec![written]).await;
    assert!(!response.body.contains("error") && !response.complete, "{response:?}");
    assert_eq!(response.body, TWO_EVENTS);
}
