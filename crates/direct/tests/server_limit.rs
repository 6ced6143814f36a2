//! Backend servers that name a limit of requests in their responses.

mod common;

use std::time::Duration;

use actix_rt::test;
use clementine_direct::Running;
use common::{Backend, Store, send_request, start_configured_store, start_entry, wait_until};
use tokio::time::{Instant, sleep};

const LAYERS: u32 = 12;
/// Limit that a server names, in requests per second.
const LIMIT: (&str, &str) = ("server-limit", "3");
const LIMIT_PER_S: f64 = 3.0;
/// Length of the window in which a server's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a server first named its limit from which it must be kept.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Time in which entries tell each other what a server has said.
const EXCHANGE_TIME: Duration = Duration::from_millis(600);

/// Maximum number of requests in a window at a limit per second.
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

async fn start_entries(store: &Store, count: usize) -> Vec<Running> {
    let mut entries = Vec::new();
    for n in 0..count {
        entries.push(start_entry(&format!("entry-{n}"), store).await);
    }
    sleep(Duration::from_secs(1)).await;
    entries
}

/// Largest number of arrivals in a window after the settling time.
fn most_in_window(arrivals: &[Instant]) -> usize {
    let Some(first) = arrivals.first() else { return 0 };
    let settled = arrivals.iter().filter(|at| **at >= *first + SETTLING_TIME);
    let in_window = |from: &Instant| {
        arrivals.iter().filter(|at| *from <= **at && **at < *from + WINDOW).count()
    };
    settled.map(in_window).max().unwrap_or(0)
}

/// Sends requests through each entry for `LOAD_TIME`, with several callers that each
/// send one after another.
async fn send_load(entries: &[Running], path: &str, callers: usize) {
    let end = Instant::now() + LOAD_TIME;
    let callers = entries.iter().flat_map(|entry| vec![entry.callers; callers]);
    let load = callers.map(|address| async move {
        while Instant::now() < end {
            send_request(address, "POST", path, "load").await;
            sleep(Duration::from_millis(25)).await;
        }
    });
    futures::future::join_all(load).await;
}

#[test]
async fn entries_together_keep_the_limit_that_a_server_names() {
    let store = start_configured_store(LAYERS).await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let two = Backend::start("plain-2", "plain", &store).await;
    for server in [&one, &two] {
        server.extra_headers.replace(vec![LIMIT]);
    }
    let entries = start_entries(&store, 3).await;
    send_load(&entries, "/safe/x", 2).await;
    for server in [&one, &two] {
        let most = most_in_window(&server.arrivals.borrow());
        assert!(most <= allowed(LIMIT_PER_S), "{}: {most} in {WINDOW:?}", server.id);
        let half = LIMIT_PER_S * WINDOW.as_secs_f64() / 2.0;
        assert!(most as f64 >= half, "{} still gets work: {most} in {WINDOW:?}", server.id);
    }
}

#[test]
async fn entries_together_keep_the_limit_of_engines_that_are_first_on_a_path() {
    let store = start_configured_store(LAYERS).await;
    let mut engines = Vec::new();
    for n in 0..6 {
        engines.push(Backend::start(&format!("engine-{n}"), "model", &store).await);
    }
    let entries = start_entries(&store, 2).await;
    wait_until("all engines host layers", async || engines.iter().all(Backend::holds_layers)).await;
    sleep(EXCHANGE_TIME).await;
    for engine in &engines {
        engine.extra_headers.replace(vec![LIMIT]);
    }
    send_load(&entries, "/stream/x", 8).await;
    for engine in &engines {
        let most = most_in_window(&engine.arrivals.borrow());
        assert!(most <= allowed(LIMIT_PER_S), "{}: {most} in {WINDOW:?}", engine.id);
    }
}

#[test]
async fn limit_ends_when_the_server_no_longer_names_it() {
    let store = start_configured_store(LAYERS).await;
    let server = Backend::start("plain-1", "plain", &store).await;
    server.extra_headers.replace(vec![LIMIT]);
    let entries = start_entries(&store, 2).await;
    for entry in &entries {
        send_request(entry.callers, "POST", "/safe/x", "x").await;
    }
    server.extra_headers.replace(Vec::new());
    sleep(EXCHANGE_TIME).await;
    wait_until("both entries have a request served", async || {
        let mut served = true;
        for entry in &entries {
            served &= send_request(entry.callers, "POST", "/safe/x", "x").await.status == 200;
        }
        served
    })
    .await;
    sleep(EXCHANGE_TIME).await;
    for n in 0..20 {
        let response = send_request(entries[n % 2].callers, "POST", "/safe/x", "x").await;
        assert_eq!(response.status, 200, "request {n}");
    }
}

#[test]
async fn malformed_limit_is_ignored() {
    let store = start_configured_store(LAYERS).await;
    let server = Backend::start("plain-1", "plain", &store).await;
    let entry = &start_entries(&store, 1).await[0];
    for value in ["", "-1", "NaN", "inf", "many", "1e400", "0x10"] {
        server.extra_headers.replace(vec![("server-limit", value)]);
        for _ in 0..8 {
            let response = send_request(entry.callers, "POST", "/safe/x", "x").await;
            assert_eq!(response.status, 200, "after `{value}`");
        }
    }
}
