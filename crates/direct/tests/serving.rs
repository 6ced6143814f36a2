//! Requests through entries, with a simulated store, backend servers and callers.

mod common;

use std::time::Duration;

use actix_rt::test;
use common::{
    Backend, Behaviour, CallerResponse, config, send_request, send_request_with_headers,
    silence_engine_on_path, start_configured_store, start_engines, start_entry,
    start_placed_engines, wait_until, wait_until_placed,
};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of layers of the model. The planner assigns four to each engine, so three
/// engines host one copy.
const LAYERS: u32 = 12;

fn event_ids(response: &CallerResponse) -> Vec<u64> {
    let lines = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().expect("numeric event ID")).collect()
}

fn all_event_ids() -> Vec<u64> {
    (1..=20).collect()
}

#[test]
async fn stream_runs_on_a_path_that_covers_all_layers() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, 4).await;
    let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(event_ids(&response), all_event_ids());
    let paths: Vec<String> = engines.iter().flat_map(|e| e.run_paths.borrow().clone()).collect();
    assert_eq!(paths.len(), 1);
    assert!(paths[0].contains("=0-") && paths[0].ends_with("-12"), "{}", paths[0]);
}

#[test]
async fn run_with_an_unresponsive_engine_is_repathed_without_losing_events() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, 5).await;
    let (response, _) = tokio::join!(
        send_request(entry.callers, "POST", "/stream/x", "prompt"),
        silence_engine_on_path(&engines)
    );
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(event_ids(&response), all_event_ids());
}

#[test]
async fn stream_uses_at_most_max_attempts_engines() {
    let store = start_configured_store(LAYERS).await;
    // Nine engines host three copies of the model, so that a third engine could start
    // a run.
    let (engines, entry) = start_placed_engines(&store, 9).await;
    for engine in &engines {
        engine.disconnect_after.set(Some(3));
    }
    let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
    assert!(!response.complete, "a stream that ends early must not look complete");
    assert_eq!(event_ids(&response), (1..=6).collect::<Vec<u64>>(), "the events of two runs");
    assert_eq!(engines.iter().filter(|engine| !engine.run_paths.borrow().is_empty()).count(), 2);
}

#[test]
async fn started_stream_waits_for_capacity() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, 9).await;
    for engine in &engines {
        engine.disconnect_after.set(Some(5));
    }
    let no_capacity_temporarily = async {
        wait_until("a run has started", async || {
            engines.iter().any(|e| !e.run_paths.borrow().is_empty())
        })
        .await;
        for engine in &engines {
            engine.refuses_streams.set(true);
            engine.disconnect_after.set(None);
        }
        let first = engines
            .iter()
            .find(|e| !e.run_paths.borrow().is_empty())
            .expect("an engine that started a run");
        first.disconnect_after.set(Some(5));
        sleep(Duration::from_millis(900)).await;
        first.disconnect_after.set(None);
        for engine in &engines {
            engine.refuses_streams.set(false);
        }
    };
    let (response, ()) = tokio::join!(
        send_request(entry.callers, "POST", "/stream/x", "prompt"),
        no_capacity_temporarily
    );
    assert!(response.complete, "{response:?}");
    assert_eq!(event_ids(&response), all_event_ids());
}

#[test]
async fn unsafe_request_with_a_lost_response_is_not_retried_or_reported_as_not_run() {
    let store = start_configured_store(LAYERS).await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let two = Backend::start("plain-2", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    for backend in [&one, &two] {
        backend.behaviour.set(Behaviour::RunAndClose);
    }
    let response = send_request(entry.callers, "POST", "/once/x", "order").await;
    assert_eq!(response.status, 502, "502 leaves open whether the request ran");
    assert_eq!(one.run_paths.borrow().len() + two.run_paths.borrow().len(), 1);
}

#[test]
async fn refused_unsafe_request_is_sent_to_another_backend_server() {
    let store = start_configured_store(LAYERS).await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let two = Backend::start("plain-2", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    one.behaviour.set(Behaviour::Refuse);
    for _ in 0..4 {
        let response = send_request(entry.callers, "POST", "/once/x", "order").await;
        assert_eq!((response.status, response.body.as_str()), (200, "response from plain-2"));
    }
    two.behaviour.set(Behaviour::Refuse);
    let response = send_request(entry.callers, "POST", "/once/x", "order").await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some(), "the request did not run, so the caller may retry");
    assert_eq!((one.run_paths.borrow().len(), two.run_paths.borrow().len()), (0, 4));
}

#[test]
async fn idempotent_request_is_retried_and_the_last_error_is_relayed() {
    let store = start_configured_store(LAYERS).await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let two = Backend::start("plain-2", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    one.behaviour.set(Behaviour::RunAndClose);
    let response = send_request(entry.callers, "GET", "/safe/x", "").await;
    assert_eq!((response.status, response.body.as_str()), (200, "response from plain-2"));
    sleep(Duration::from_millis(300)).await;
    one.behaviour.set(Behaviour::Fail);
    two.behaviour.set(Behaviour::Fail);
    let response = send_request(entry.callers, "GET", "/safe/x", "").await;
    assert_eq!(response.status, 500);
    assert!(
        one.run_paths.borrow().len() + two.run_paths.borrow().len() <= 4,
        "at most two attempts per request"
    );
}

/// Guards against a response of which a part looks whole: its server sends no length, and
/// the entry that relays it is killed (review/2).
#[test]
async fn response_without_a_length_is_relayed_with_its_length() {
    let store = start_configured_store(LAYERS).await;
    let one = Backend::start("plain-1", "plain", &store).await;
    one.behaviour.set(Behaviour::ServeCloseDelimited);
    let entry = start_entry("one", &store).await;
    let response = send_request(entry.callers, "GET", "/safe/x", "").await;
    assert_eq!((response.body.as_str(), response.complete), ("response from plain-1", true));
    assert!(!response.close_delimited, "a part of it would look whole");
}

#[test]
async fn missing_or_wrong_api_key_gives_401_and_unknown_route_404() {
    let store = start_configured_store(LAYERS).await;
    let _one = Backend::start("plain-1", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    let no_key = send_request_with_headers(entry.callers, "GET", "/safe/x", "", &[]).await;
    let wrong_key =
        send_request_with_headers(entry.callers, "GET", "/safe/x", "", &[("x-api-key", "no")])
            .await;
    let no_route = send_request(entry.callers, "GET", "/elsewhere/x", "").await;
    assert_eq!([no_key.status, wrong_key.status, no_route.status], [401, 401, 404]);
}

#[test]
async fn stream_without_engines_gets_503_with_retry_after() {
    let store = start_configured_store(LAYERS).await;
    let entry = start_entry("one", &store).await;
    let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
    assert_eq!((response.status, response.retry_after.is_some()), (503, true));
}

#[test]
async fn unanswered_order_is_resent_immediately() {
    let store = start_configured_store(LAYERS).await;
    let engines = start_engines(&store, 4).await;
    for engine in &engines {
        engine.orders_to_ignore.set(2);
    }
    let entry = start_entry("one", &store).await;
    wait_until_placed(&engines).await;
    let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
    assert_eq!(event_ids(&response), all_event_ids());
}

#[test]
async fn entries_started_together_discover_each_other_and_one_holds_the_planner_lease() {
    let store = start_configured_store(LAYERS).await;
    let engines = start_engines(&store, 4).await;
    let (one, two) = tokio::join!(start_entry("one", &store), start_entry("two", &store));
    wait_until_placed(&engines).await;
    assert_eq!(store.keys("entries"), ["one", "two"]);
    assert_eq!(store.keys("leases"), ["planner"]);
    for entry in [&one, &two] {
        let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
        assert_eq!(event_ids(&response), all_event_ids());
    }
}

#[test]
async fn removed_backend_server_gets_no_requests_and_a_new_configuration_takes_effect() {
    let store = start_configured_store(LAYERS).await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let _two = Backend::start("plain-2", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    store.remove("servers", "plain-1");
    store.put("op", "config", &config(2, LAYERS).replace("\"/safe/\"", "\"/moved/\""));
    wait_until("the new configuration has taken effect", async || {
        send_request(entry.callers, "GET", "/moved/x", "").await.status == 200
    })
    .await;
    sleep(Duration::from_millis(400)).await;
    let before = one.run_paths.borrow().len();
    for _ in 0..10 {
        let response = send_request(entry.callers, "GET", "/moved/x", "").await;
        assert_eq!(response.body, "response from plain-2");
    }
    assert_eq!(one.run_paths.borrow().len(), before);
    assert_eq!(send_request(entry.callers, "GET", "/safe/x", "").await.status, 404);
}

#[test]
async fn entry_shutdown_completes_streams_in_progress() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, 4).await;
    let stop = async {
        wait_until("a run has started", async || {
            engines.iter().any(|e| !e.run_paths.borrow().is_empty())
        })
        .await;
        entry.stop();
        assert_eq!(send_request(entry.readiness, "GET", "/-/readiness", "").await.status, 503);
    };
    let stopped = entry.stopped();
    let (response, (), ()) =
        tokio::join!(send_request(entry.callers, "POST", "/stream/x", "prompt"), stop, stopped);
    assert_eq!((event_ids(&response), response.complete), (all_event_ids(), true));
}

#[test]
async fn draining_engine_is_avoided_and_completes_its_runs() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, 9).await;
    let drain_one = async {
        wait_until("a run has started", async || {
            engines.iter().any(|e| !e.run_paths.borrow().is_empty())
        })
        .await;
        let draining_engine = engines
            .iter()
            .find(|e| !e.run_paths.borrow().is_empty())
            .expect("an engine that started a run");
        draining_engine.draining.set(true);
        for _ in 0..12 {
            spawn_local(send_request(entry.callers, "POST", "/stream/x", "prompt"));
            sleep(Duration::from_millis(25)).await;
        }
        draining_engine.refused_streams.get()
    };
    let (response, refused) =
        tokio::join!(send_request(entry.callers, "POST", "/stream/x", "prompt"), drain_one);
    assert!(response.complete, "a draining engine completes the run that it has");
    assert!(refused <= 2, "{refused} of 12 requests were refused");
}

#[test]
async fn engine_that_executes_an_order_is_not_marked_down() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, 5).await;
    let execute_order_on_one = async {
        wait_until("a run has started", async || {
            engines.iter().any(|e| !e.run_paths.borrow().is_empty())
        })
        .await;
        let first = engines
            .iter()
            .find(|e| !e.run_paths.borrow().is_empty())
            .expect("an engine that started a run");
        let path = first.run_paths.borrow()[0].clone();
        let on_path = |e: &&Backend| e.id != first.id && path.contains(&e.address.to_string());
        let busy_engine = engines.iter().find(on_path).expect("another engine on the path");
        busy_engine.busy.set(true);
        first.waiting_on.set(Some(busy_engine.address));
        sleep(Duration::from_millis(550)).await;
        first.waiting_on.set(None);
    };
    let (response, ()) = tokio::join!(
        send_request(entry.callers, "POST", "/stream/x", "prompt"),
        execute_order_on_one
    );
    assert_eq!(event_ids(&response), all_event_ids());
    assert!(engines.iter().all(|engine| engine.repaths.borrow().is_empty()));
}

/// An engine that left the list may still run the stream, so it must stay in the
/// count of attempts when the second attempt stalls.
#[test]
async fn delisted_engine_counts_towards_the_attempt_limit_of_a_stream() {
    let store = start_configured_store(LAYERS).await;
    // 14 engines host at least three copies of the model, so that a third engine could
    // start a run.
    let (engines, entry) = start_placed_engines(&store, 14).await;
    let has_run = |engine: &&Backend| !engine.run_paths.borrow().is_empty();
    let count = || engines.iter().filter(has_run).count();
    for engine in &engines {
        engine.disconnect_after.set(Some(6));
        engine.refuses_repaths.set(true);
    }
    let fail_two_runs = async {
        wait_until("a run has started", async || count() == 1).await;
        let one = engines.iter().find(has_run).expect("an engine that started a run");
        for engine in engines.iter().filter(|engine| engine.id != one.id) {
            engine.disconnect_after.set(None);
        }
        store.remove("servers", &one.id);
        wait_until("a second run has started", async || count() == 2).await;
        let two = engines
            .iter()
            .find(|e| has_run(e) && e.id != one.id)
            .expect("an engine that started the second run");
        let path = two.run_paths.borrow()[0].clone();
        let on_path = |e: &&Backend| e.id != two.id && path.contains(&e.address.to_string());
        let silenced = engines.iter().find(on_path).expect("another engine on the path");
        silenced.unresponsive.set(true);
        two.waiting_on.set(Some(silenced.address));
        sleep(Duration::from_millis(1_500)).await;
        two.waiting_on.set(None);
    };
    tokio::join!(send_request(entry.callers, "POST", "/stream/x", "prompt"), fail_two_runs);
    assert_eq!(count(), 2, "a third engine got the stream, beyond the route's two attempts");
}
