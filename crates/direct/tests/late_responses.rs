//! Responses that a server sends a second time or late never answer another request.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::test;
use clementine_e2e::{ScriptedRequest, ScriptedServer, Step};
use clementine_http1::{ClientConn, ServerConn};
use common::{Backend, start_configured_store};
use common::{list_server, queue_request, send_request_with_headers, signed, start_entry};
use tokio::time::sleep;

/// Number of requests, one after another.
const REQUESTS: usize = 12;

/// A response that names its request in the body.
fn own_response(request: &ScriptedRequest) -> String {
    signed(request, 200, &format!("for {}", request.header("request-id")))
}

/// Guards against a second copy that is read as the response to the next request. The
/// fault cannot occur here: each attempt uses a connection of its own, which is closed
/// after the response.
#[test]
async fn second_copy_of_a_response_reaches_no_other_caller() {
    let store = start_configured_store(0).await;
    let server = ScriptedServer::start(|request| {
        let response = own_response(request);
        let copy = Step::send(response.clone());
        // In the same segment, and after the next request may have been sent.
        let both = Step::send(response.repeat(2));
        vec![both, Step::Wait(Duration::from_millis(15)), copy]
    })
    .await;
    list_server(&store, "copies", "plain", server.address);
    let entry = start_entry("one", &store).await;
    for path in ["/safe/x", "/once/x"] {
        for n in 0..REQUESTS {
            let id = format!("r-{n}");
            let headers = [("x-api-key", "key"), ("request-id", id.as_str())];
            let response =
                send_request_with_headers(entry.callers, "POST", path, "x", &headers).await;
            assert_eq!((response.status, response.body), (200, format!("for {id}")), "{path}");
        }
    }
}

/// Guards against the response of an attempt that was given up, which arrives while
/// the caller's next request on the same connection runs. The fault cannot occur here:
/// the connection to the slow server is dropped with the attempt.
#[test]
async fn response_of_an_attempt_that_was_given_up_does_not_answer_the_next_request() {
    let store = start_configured_store(0).await;
    let slow = ScriptedServer::start(|request| {
        vec![Step::Wait(Duration::from_millis(450)), Step::send(own_response(request))]
    })
    .await;
    list_server(&store, "slow", "plain", slow.address);
    let entry = start_entry("one", &store).await;
    sleep(Duration::from_millis(300)).await;
    // The other server is listed while the slow one has the first request, so that this
    // attempt is the one that is given up.
    let mut fast = Some(Box::pin(async {
        sleep(Duration::from_millis(50)).await;
        Backend::start("fast", "plain", &store).await
    }));
    let mut fast_id = String::new();
    let mut backends = Vec::new();
    let config = ServerConn::codec_config();
    let mut conn = ClientConn::connect(entry.callers, Duration::from_secs(1), &config)
        .await
        .expect("the entry accepts connections");
    let seen = Rc::new(Cell::new(0));
    for n in 0..REQUESTS {
        let id = format!("r-{n}");
        queue_request(&mut conn, "/safe/x", &id, "x");
        let head = match fast.take() {
            Some(fast) => {
                let (head, backend) = futures::join!(conn.read_head(), fast);
                fast_id.clone_from(&backend.id);
                backends.push(backend);
                head
            }
            None => conn.read_head().await,
        };
        let head = head.expect("a response");
        let body = conn.read_body(1024).await.expect("a complete response");
        if head.status == 200 {
            let (slow, fast) = (format!("for {id}"), format!("response from {fast_id}"));
            assert!(body == slow || body == fast, "{id}: {body:?}");
            let named = head.headers().get("request-id").and_then(|name| name.to_str().ok());
            assert_eq!(named, Some(id.as_str()));
            seen.set(seen.get() + 1);
        }
        assert!(conn.is_reusable(), "no byte follows the response");
    }
    assert!(seen.get() > 0 && slow.connections() > 0);
}

/// Response that a request wasn't run, with the id of this request.
fn refusal_of(id: &str) -> String {
    format!("HTTP/1.1 503 X\r\nnot-executed: 1\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n")
}

/// Guards against an earlier refusal that a server writes once more before it runs a
/// request: the caller was told that it had not run, or another server ran it as well.
/// The fault cannot occur here: the refusal names the request that it belongs to, and each
/// attempt uses a connection of its own.
#[test]
async fn earlier_refusal_is_not_taken_for_the_answer_to_a_request_that_runs() {
    let store = start_configured_store(0).await;
    let runs = Rc::new(RefCell::new(Vec::<String>::new()));
    for name in ["first", "second"] {
        let (refused, runs) = (RefCell::new(None::<String>), Rc::clone(&runs));
        let server = ScriptedServer::start(move |request| {
            let id = request.header("request-id").to_owned();
            let Some(earlier) = refused.borrow().clone() else {
                refused.replace(Some(id.clone()));
                return vec![Step::send(refusal_of(&id))];
            };
            runs.borrow_mut().push(id);
            let response = refusal_of(&earlier) + &own_response(request);
            vec![Step::send(response), Step::Wait(Duration::from_millis(5))]
        })
        .await;
        list_server(&store, name, "plain", server.address);
    }
    let entry = start_entry("one", &store).await;
    for n in 0..REQUESTS {
        let id = format!("r-{n}");
        let headers = [("x-api-key", "key"), ("request-id", id.as_str())];
        let response =
            send_request_with_headers(entry.callers, "POST", "/once/x", "x", &headers).await;
        let ran = runs.borrow().iter().filter(|run| **run == id).count();
        assert!(ran <= 1, "{id} ran {ran} times");
        let says_not_run = matches!(response.status, 408 | 421 | 429 | 503);
        assert!(ran == 0 || !says_not_run, "{id} ran, and its caller got {}", response.status);
        // Servers that gave unfit responses are left alone for some time.
        sleep(Duration::from_millis(150)).await;
    }
    assert!(!runs.borrow().is_empty(), "some requests ran");
}
