//! An entry that did not run for some seconds acts on nothing that has expired meanwhile.

mod common;

use std::time::Duration;

use actix_rt::test;
use common::{
    Backend, EntryThread, send_request, send_request_with_headers, settings,
    start_configured_store, wait_until,
};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Longer than the validity of the planner's lease.
const LEASE_PAUSE: Duration = Duration::from_millis(3_500);
/// Longer than the deadline of the requests that must not run.
const REQUEST_PAUSE: Duration = Duration::from_millis(1_200);
/// Time after which a pause has begun.
const PAUSE_BEGINS: Duration = Duration::from_millis(50);

/// Guards against running a request whose caller gave up while it waited in the paused
/// process: the entry counts the pause towards its deadline and refuses it.
#[test]
async fn request_that_waited_past_its_deadline_is_refused() {
    let store = start_configured_store(0).await;
    let backend = Backend::start("plain-1", "plain", &store).await;
    let entry = EntryThread::start(settings("one", &store)).await;
    sleep(Duration::from_millis(300)).await;
    for path in ["/once/x", "/safe/x"] {
        entry.pause(REQUEST_PAUSE);
        sleep(PAUSE_BEGINS).await;
        let headers = [("x-api-key", "key"), ("deadline-ms", "600")];
        let response = send_request_with_headers(entry.callers, "POST", path, "x", &headers).await;
        assert_eq!(response.status, 503, "{path}: {response:?}");
        assert!(response.retry_after.is_some());
        assert!(backend.run_request_ids.borrow().is_empty(), "{path}");
    }
}

/// Guards against refusing requests that still have time after a pause.
#[test]
async fn request_that_waited_within_its_deadline_is_served() {
    let store = start_configured_store(0).await;
    let _backend = Backend::start("plain-1", "plain", &store).await;
    let entry = EntryThread::start(settings("one", &store)).await;
    sleep(Duration::from_millis(300)).await;
    entry.pause(REQUEST_PAUSE);
    sleep(PAUSE_BEGINS).await;
    let response = send_request(entry.callers, "POST", "/once/x", "x").await;
    assert_eq!(response.status, 200, "{response:?}");
    sleep(Duration::from_millis(300)).await;
    let headers = [("x-api-key", "key"), ("deadline-ms", "600")];
    let response = send_request_with_headers(entry.callers, "POST", "/once/x", "x", &headers).await;
    assert_eq!(response.status, 200, "some time after the pause: {response:?}");
}

/// Guards against repeating an order to an engine under a lease that expired during the
/// pause.
#[test]
async fn order_is_not_repeated_under_an_expired_lease() {
    let store = start_configured_store(12).await;
    let mut engines = Vec::new();
    for n in 0..3 {
        let engine = Backend::start(&format!("engine-{n}"), "model", &store).await;
        engine.orders_to_ignore.set(1);
        engines.push(engine);
    }
    let entry = EntryThread::start(settings("one", &store)).await;
    wait_until("an order is received", async || {
        engines.iter().any(|engine| !engine.placements.borrow().is_empty())
    })
    .await;
    entry.pause(LEASE_PAUSE);
    let paused = Instant::now() + PAUSE_BEGINS;
    // Requests keep the entry busy when it runs again, as a process does that others use.
    for _ in 0..4 {
        spawn_local(send_request(entry.callers, "POST", "/stream/x", "x"));
    }
    sleep(LEASE_PAUSE + Duration::from_millis(1_500)).await;
    let orders: Vec<_> = engines.iter().flat_map(|e| e.placements.borrow().clone()).collect();
    let (before, after): (Vec<_>, Vec<_>) = orders.iter().partition(|(at, _)| *at < paused);
    let expired = before.iter().map(|(_, fence)| *fence).max().expect("orders before the pause");
    assert!(after.iter().all(|(_, fence)| *fence > expired), "{before:?}, then {after:?}");
    assert!(!after.is_empty(), "orders are given under a new lease");
}
