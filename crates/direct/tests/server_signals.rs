//! Backend servers that say in their responses that they accept no requests for some
//! time, or that they are draining.

mod common;

use std::time::Duration;

use actix_rt::test;
use common::{
    Backend, Behaviour, send_request, start_configured_store, start_entry, start_placed_engines,
    wait_until,
};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

const LAYERS: u32 = 12;
/// Time for which engines ask to be left alone.
const RETRY_DELAY: Duration = Duration::from_secs(3);
const RETRY_DELAY_HEADER: (&str, &str) = ("retry-after", "3");
/// Time after such a response for which calls may still arrive.
const CALL_GRACE: Duration = Duration::from_millis(500);
/// Time in which entries tell each other what a server has said.
const EXCHANGE_TIME: Duration = Duration::from_millis(600);

#[test]
async fn malformed_signals_are_ignored() {
    let store = start_configured_store(LAYERS).await;
    let server = Backend::start("plain-1", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    for value in ["", "0", "-1", "yes", "11"] {
        server.extra_headers.replace(vec![("server-leaving", value)]);
        let response = send_request(entry.callers, "POST", "/safe/x", "x").await;
        assert_eq!(response.status, 200, "after `{value}`");
    }
    server.behaviour.set(Behaviour::Refuse);
    for value in ["", "-1", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        server.extra_headers.replace(vec![("retry-after", value)]);
        let before = server.arrivals.borrow().len();
        wait_until("the server gets a request", async || {
            send_request(entry.callers, "POST", "/safe/x", "x").await;
            server.arrivals.borrow().len() > before
        })
        .await;
    }
}

#[test]
async fn server_that_names_a_retry_delay_gets_nothing_until_it_ends() {
    let store = start_configured_store(LAYERS).await;
    let server = Backend::start("plain-1", "plain", &store).await;
    server.behaviour.set(Behaviour::Refuse);
    server.extra_headers.replace(vec![("retry-after", "2.5")]);
    let entry = start_entry("one", &store).await;
    send_request(entry.callers, "POST", "/safe/x", "x").await;
    let other = Backend::start("plain-2", "plain", &store).await;
    other.behaviour.set(Behaviour::Refuse);
    server.behaviour.set(Behaviour::Serve);
    server.extra_headers.replace(Vec::new());
    let refused_at = server.arrivals.borrow()[0];
    // The row is written anew, which must not end the delay.
    store.remove("servers", "plain-1");
    sleep(EXCHANGE_TIME).await;
    server.write_server_row();
    while refused_at.elapsed() < Duration::from_secs(2) {
        assert_eq!(send_request(entry.callers, "POST", "/safe/x", "x").await.status, 503);
    }
    assert_eq!(server.arrivals.borrow().len(), 1);
    wait_until("the server is used again", async || {
        send_request(entry.callers, "POST", "/safe/x", "x").await.status == 200
    })
    .await;
}

#[test]
async fn callers_learn_when_the_servers_accept_requests_again() {
    let store = start_configured_store(LAYERS).await;
    let server = Backend::start("plain-1", "plain", &store).await;
    server.behaviour.set(Behaviour::Refuse);
    server.extra_headers.replace(vec![("retry-after", "5")]);
    let entry = start_entry("one", &store).await;
    for path in ["/safe/x", "/once/x"] {
        let response = send_request(entry.callers, "POST", path, "x").await;
        assert_eq!(response.status, 503);
        let delay: f64 = response.retry_after.expect("a delay").parse().expect("seconds");
        assert!((2.0..=6.0).contains(&delay), "{path}: {delay} s");
    }
    assert_eq!(server.arrivals.borrow().len(), 1);
}

#[test]
async fn draining_server_gets_no_requests_from_any_entry() {
    let store = start_configured_store(LAYERS).await;
    let server = Backend::start("plain-1", "plain", &store).await;
    server.extra_headers.replace(vec![("server-leaving", "1")]);
    let entries = [start_entry("one", &store).await, start_entry("two", &store).await];
    sleep(Duration::from_secs(1)).await;
    assert_eq!(send_request(entries[0].callers, "POST", "/safe/x", "x").await.status, 200);
    let _other = Backend::start("plain-2", "plain", &store).await;
    sleep(EXCHANGE_TIME).await;
    // The row still says that it is ready, and is written anew.
    store.remove("servers", "plain-1");
    sleep(EXCHANGE_TIME).await;
    server.write_server_row();
    sleep(EXCHANGE_TIME).await;
    for n in 0..10 {
        let response = send_request(entries[n % 2].callers, "POST", "/safe/x", "x").await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(server.arrivals.borrow().len(), 1, "only the request that was answered");
}

/// Guards against orders to engines that have asked to be left alone: streams that lose
/// another engine of their path must not ask their first one to change it.
#[test]
async fn engine_that_names_a_retry_delay_gets_no_orders_to_change_paths() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, 5).await;
    let streams =
        join_all((0..8).map(|_| send_request(entry.callers, "POST", "/stream/x", "prompt")));
    let has_run = |engine: &&Backend| !engine.run_paths.borrow().is_empty();
    let lose_engine = async {
        let runs = || engines.iter().map(|e| e.run_paths.borrow().len()).sum::<usize>();
        wait_until("the streams run", async || runs() == 8).await;
        let crashing = engines.iter().find(|e| !has_run(e)).expect("an engine that is not first");
        for engine in engines.iter().filter(has_run) {
            engine.waiting_on.set(Some(crashing.address));
            engine.refuses_streams.set(true);
            engine.extra_headers.replace(vec![RETRY_DELAY_HEADER]);
        }
        let refused = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
        assert_eq!(refused.status, 503, "all first engines refuse");
        let paused_at = Instant::now();
        sleep(CALL_GRACE).await;
        crashing.crash();
        sleep(Duration::from_millis(1_500)).await;
        paused_at
    };
    let (_, paused_at) = tokio::join!(streams, lose_engine);
    for engine in engines.iter().filter(has_run) {
        let count = control_calls_in_delay(engine, paused_at);
        assert_eq!(count, 0, "calls to {} while it is to be left alone", engine.id);
    }
}

/// Number of orders and requests for its report that an engine received while it was to
/// be left alone.
fn control_calls_in_delay(engine: &Backend, refused_at: Instant) -> usize {
    let delay = refused_at + CALL_GRACE..refused_at + RETRY_DELAY;
    engine.control_calls.borrow().iter().filter(|at| delay.contains(at)).count()
}

/// Guards against orders to engines that have refused one and asked to be left alone.
#[test]
async fn engine_that_refuses_control_calls_for_some_time_gets_none_until_then() {
    /// Calls that the platform tolerates in the time.
    const MAX_CALLS: usize = 2;
    let store = start_configured_store(LAYERS).await;
    let engine = Backend::start("engine-0", "model", &store).await;
    engine.refuses_control.set(true);
    engine.extra_headers.replace(vec![RETRY_DELAY_HEADER]);
    let _entry = start_entry("one", &store).await;
    wait_until("the planner calls the engine", async || !engine.control_calls.borrow().is_empty())
        .await;
    let refused_at = engine.control_calls.borrow()[0];
    sleep(RETRY_DELAY).await;
    let count = control_calls_in_delay(&engine, refused_at);
    assert!(count <= MAX_CALLS, "{count} calls while the engine is to be left alone");
    engine.refuses_control.set(false);
    engine.extra_headers.replace(Vec::new());
    wait_until("the engine hosts layers", async || engine.holds_layers()).await;
}
