//! After a lost response, an operation that is not idempotent does not run again, and no
//! caller is told that its request has not run.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use actix_rt::test;
use clementine_e2e::{ScriptedRequest, ScriptedServer, Step};
use common::{
    list_server, send_request_with_headers, signed, signed_head, start_configured_store,
    start_entry,
};
use futures::future::join_all;
use tokio::time::sleep;

/// Maximum number of runs that the routes for requests that may be repeated allow.
const MAX_ATTEMPTS: u32 = 2;

/// A server that says that it did not run the request.
const REFUSAL: &str = "HTTP/1.1 503 X\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// A server that got a request for another one.
const MISDIRECTED: &str = "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n";

/// Number of deployments so far. Entries go on until the process ends, and the ports of
/// their servers are used again by later deployments.
static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

type Script = fn(&ScriptedRequest) -> Vec<Step>;

/// The ways in which a server that has run a request fails to say so.
const LOSSES: [(&str, Script); 13] = [
    ("closed", |_| vec![Step::Close]),
    ("reset", |_| vec![Step::Reset]),
    ("head cut off", |_| vec![Step::send("HTTP/1.1 200 OK\r\nserver-se"), Step::Close]),
    ("head cut off after a line", |request| {
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {}\r\n", request.header("request-id"));
        vec![Step::send(head + "server-seal: seal\r\n"), Step::Close]
    }),
    ("head cut off before its last byte", |request| {
        let head = signed_head(request, 200, "content-length: 0\r\n");
        vec![Step::send(&head[..head.len() - 1]), Step::Close]
    }),
    ("head cut off and reset", |request| {
        let head = signed_head(request, 200, "");
        let wait = Step::Wait(Duration::from_millis(30));
        vec![Step::send(&head[..head.len() - 2]), wait, Step::Reset]
    }),
    ("body cut off", |request| {
        vec![Step::send(signed_head(request, 200, "content-length: 9\r\n") + "part"), Step::Reset]
    }),
    ("no HTTP", |_| vec![Step::send("garbage\r\n\r\n"), Step::Close]),
    ("503 that claims nothing", |request| vec![Step::send(signed(request, 503, ""))]),
    ("429 that claims nothing", |request| vec![Step::send(signed(request, 429, ""))]),
    ("success without a signature", |_| {
        vec![Step::send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")]
    }),
    ("response to another request", |_| {
        let head = "HTTP/1.1 200 OK\r\nserver-seal: seal\r\nrequest-id: other\r\n";
        vec![Step::send(format!("{head}content-length: 2\r\n\r\nok"))]
    }),
    ("silence", |_| vec![Step::Wait(Duration::from_secs(3)), Step::Close]),
];

/// How the servers treat requests after the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    /// The other server refuses them.
    Refuse,
    /// The other server refuses connections.
    RefuseConnections,
    /// The response is lost again.
    LoseAgain,
}

/// Sends a request to servers that lose the first response. Returns the status, whether
/// the response has a retry delay, and the number of runs.
async fn lose(path: &'static str, script: Script, then: Then) -> (u16, bool, u32) {
    let store = start_configured_store(0).await;
    let runs = Rc::new(Cell::new(0));
    let pool = if path.starts_with("/stream/") { "model" } else { "plain" };
    let servers: Rc<std::cell::RefCell<Vec<ScriptedServer>>> = Rc::default();
    let deployment = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
    for n in 0..2 {
        let id = format!("server-{deployment}-{n}");
        let own_id = id.clone();
        let (counted, others) = (Rc::clone(&runs), Rc::clone(&servers));
        let server = ScriptedServer::start(move |request| {
            if request.header("request-id").is_empty() {
                return vec![Step::send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")];
            }
            if request.header("expect-instance") != own_id {
                return vec![Step::send(MISDIRECTED)];
            }
            if counted.get() > 0 && then != Then::LoseAgain {
                return vec![Step::send(REFUSAL)];
            }
            if then == Then::RefuseConnections {
                others.borrow().iter().for_each(ScriptedServer::stop_accepting);
            }
            counted.set(counted.get() + 1);
            script(request)
        })
        .await;
        list_server(&store, &id, pool, server.address);
        servers.borrow_mut().push(server);
    }
    let entry = start_entry("one", &store).await;
    sleep(Duration::from_millis(200)).await;
    let headers = [("x-api-key", "key"), ("deadline-ms", "1200")];
    let response = send_request_with_headers(entry.callers, "POST", path, "x", &headers).await;
    (response.status, response.retry_after.is_some(), runs.get())
}

async fn check(path: &'static str, max_runs: u32) {
    for (loss, script) in LOSSES {
        let cases = [Then::Refuse, Then::RefuseConnections, Then::LoseAgain];
        let outcomes = join_all(cases.map(|then| lose(path, script, then))).await;
        for (then, (status, retry_after, runs)) in cases.into_iter().zip(outcomes) {
            let what = format!("{path} {loss}, then {then:?}: status {status}, {runs} runs");
            // A stream whose head was relayed ends with its connection.
            let begun = path.starts_with("/stream/") && loss == "body cut off";
            let unknown = matches!(status, 502 | 504) || begun && status == 0;
            assert!(unknown && !retry_after, "{what}");
            assert!((1..=max_runs).contains(&runs), "{what}");
        }
    }
}

/// Guards against a second run after any kind of lost response, and against 429 and 503,
/// which promise that the request has not run. The fault cannot occur here.
#[test]
async fn operation_whose_response_is_lost_runs_once_and_is_not_reported_as_refused() {
    check("/once/x", 1).await;
}

/// Guards against reporting the last attempt, which was refused, instead of the first,
/// whose response was lost. The fault cannot occur here.
#[test]
async fn repeatable_request_whose_response_is_lost_is_not_reported_as_refused() {
    check("/safe/x", MAX_ATTEMPTS).await;
}

/// Like the test above, for streams that break off before their first event. The fault
/// cannot occur here either.
#[test]
async fn stream_whose_response_is_lost_is_not_reported_as_refused() {
    check("/stream/x", MAX_ATTEMPTS).await;
}
