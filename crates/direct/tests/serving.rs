//! One entry between a store, backend servers and callers.

mod world;

use std::time::Duration;

use actix_rt::test;
use clementine_direct::Running;
use tokio::task::spawn_local;
use tokio::time::sleep;
use world::{
    Answer, Backend, Behaviour, Store, ask, ask_with, config, entry, lose_an_engine, until,
};

/// Layers of the model: three engines of ten hold two copies of it and some.
const LAYERS: u32 = 12;

fn events(answer: &Answer) -> Vec<u64> {
    let lines = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().expect("an id")).collect()
}

fn all_events() -> Vec<u64> {
    (1..=20).collect()
}

/// A store with a configuration.
async fn configured_store() -> Store {
    let store = Store::start().await;
    store.put("op", "config", &config(1, LAYERS));
    store
}

/// Engines that hold the model, and an entry.
async fn placed_engines(store: &Store, count: usize) -> (Vec<Backend>, Running) {
    let engines = engines(store, count).await;
    let entry = entry("one", store).await;
    placed(&engines).await;
    (engines, entry)
}

/// Engines without layers.
async fn engines(store: &Store, count: usize) -> Vec<Backend> {
    let mut engines = Vec::new();
    for n in 0..count {
        engines.push(Backend::start(&format!("engine-{n}"), "model", store).await);
    }
    engines
}

async fn placed(engines: &[Backend]) {
    until("all engines hold layers", async || engines.iter().all(Backend::holds_layers)).await;
    // The list has to reach the entry.
    sleep(Duration::from_millis(600)).await;
}

#[test]
async fn a_stream_passes_through_engines_that_were_told_to_hold_the_layers() {
    let store = configured_store().await;
    let (engines, entry) = placed_engines(&store, 4).await;
    let answer = ask(entry.callers, "POST", "/stream/x", "prompt").await;
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(events(&answer), all_events());
    let paths: Vec<String> = engines.iter().flat_map(|e| e.ran.borrow().clone()).collect();
    assert_eq!(paths.len(), 1);
    assert!(paths[0].contains("=0-") && paths[0].ends_with("-12"), "{}", paths[0]);
}

#[test]
async fn a_run_whose_engine_is_down_changes_its_path_and_loses_no_event() {
    let store = configured_store().await;
    let (engines, entry) = placed_engines(&store, 5).await;
    let (answer, _) =
        tokio::join!(ask(entry.callers, "POST", "/stream/x", "prompt"), lose_an_engine(&engines));
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(events(&answer), all_events());
}

#[test]
async fn a_stream_runs_on_no_more_servers_than_its_route_allows() {
    let store = configured_store().await;
    // Three copies of the model, so that three engines may be the first.
    let (engines, entry) = placed_engines(&store, 9).await;
    for engine in &engines {
        engine.break_after.set(Some(3));
    }
    let answer = ask(entry.callers, "POST", "/stream/x", "prompt").await;
    assert!(!answer.whole, "a stream that breaks off must not look complete");
    assert_eq!(events(&answer), (1..=6).collect::<Vec<u64>>(), "two runs, joined");
    assert_eq!(engines.iter().filter(|engine| !engine.ran.borrow().is_empty()).count(), 2);
}

#[test]
async fn a_stream_that_has_begun_waits_for_room() {
    let store = configured_store().await;
    let (engines, entry) = placed_engines(&store, 9).await;
    for engine in &engines {
        engine.break_after.set(Some(5));
    }
    let no_room_for_a_while = async {
        until("a run has begun", async || engines.iter().any(|e| !e.ran.borrow().is_empty())).await;
        for engine in &engines {
            engine.refuses_streams.set(true);
            engine.break_after.set(None);
        }
        let begun = engines.iter().find(|e| !e.ran.borrow().is_empty()).expect("a first engine");
        begun.break_after.set(Some(5));
        sleep(Duration::from_millis(900)).await;
        begun.break_after.set(None);
        for engine in &engines {
            engine.refuses_streams.set(false);
        }
    };
    let (answer, ()) =
        tokio::join!(ask(entry.callers, "POST", "/stream/x", "prompt"), no_room_for_a_while);
    assert!(answer.whole, "{answer:?}");
    assert_eq!(events(&answer), all_events());
}

#[test]
async fn an_operation_runs_once_and_its_loss_is_not_called_not_run() {
    let store = configured_store().await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let two = Backend::start("plain-2", "plain", &store).await;
    let entry = entry("one", &store).await;
    for backend in [&one, &two] {
        backend.behaviour.set(Behaviour::RunAndClose);
    }
    let answer = ask(entry.callers, "POST", "/once/x", "order").await;
    assert_eq!(answer.status, 502, "502 does not promise that it has not run");
    assert_eq!(one.ran.borrow().len() + two.ran.borrow().len(), 1);
}

#[test]
async fn an_operation_that_was_refused_is_sent_elsewhere() {
    let store = configured_store().await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let two = Backend::start("plain-2", "plain", &store).await;
    let entry = entry("one", &store).await;
    one.behaviour.set(Behaviour::Refuse);
    for _ in 0..4 {
        let answer = ask(entry.callers, "POST", "/once/x", "order").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "answer of plain-2"));
    }
    two.behaviour.set(Behaviour::Refuse);
    let answer = ask(entry.callers, "POST", "/once/x", "order").await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some(), "it has not run, so the caller may come back");
    assert_eq!((one.ran.borrow().len(), two.ran.borrow().len()), (0, 4));
}

#[test]
async fn an_idempotent_request_is_sent_again_and_the_last_failure_is_passed_on() {
    let store = configured_store().await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let two = Backend::start("plain-2", "plain", &store).await;
    let entry = entry("one", &store).await;
    one.behaviour.set(Behaviour::RunAndClose);
    let answer = ask(entry.callers, "GET", "/safe/x", "").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer of plain-2"));
    sleep(Duration::from_millis(300)).await;
    one.behaviour.set(Behaviour::Fail);
    two.behaviour.set(Behaviour::Fail);
    let answer = ask(entry.callers, "GET", "/safe/x", "").await;
    assert_eq!(answer.status, 500);
    assert!(one.ran.borrow().len() + two.ran.borrow().len() <= 4, "two attempts a request");
}

#[test]
async fn an_answer_that_ends_with_its_connection_is_passed_on_alike() {
    let store = configured_store().await;
    let one = Backend::start("plain-1", "plain", &store).await;
    one.behaviour.set(Behaviour::ServeUnframed);
    let entry = entry("one", &store).await;
    let answer = ask(entry.callers, "GET", "/safe/x", "").await;
    assert_eq!((answer.body.as_str(), answer.unframed), ("answer of plain-1", true));
}

#[test]
async fn who_may_ask_what() {
    let store = configured_store().await;
    let _one = Backend::start("plain-1", "plain", &store).await;
    let entry = entry("one", &store).await;
    let no_key = ask_with(entry.callers, "GET", "/safe/x", "", &[]).await;
    let wrong_key = ask_with(entry.callers, "GET", "/safe/x", "", &[("x-api-key", "no")]).await;
    let no_route = ask(entry.callers, "GET", "/elsewhere/x", "").await;
    assert_eq!([no_key.status, wrong_key.status, no_route.status], [401, 401, 404]);
}

#[test]
async fn a_request_without_engines_is_refused_at_once_with_a_time_to_come_back() {
    let store = configured_store().await;
    let entry = entry("one", &store).await;
    let answer = ask(entry.callers, "POST", "/stream/x", "prompt").await;
    assert_eq!((answer.status, answer.retry_after.is_some()), (503, true));
}

#[test]
async fn an_order_without_an_answer_is_given_again_at_once() {
    let store = configured_store().await;
    let engines = engines(&store, 4).await;
    for engine in &engines {
        engine.lost_orders.set(2);
    }
    let entry = entry("one", &store).await;
    placed(&engines).await;
    let answer = ask(entry.callers, "POST", "/stream/x", "prompt").await;
    assert_eq!(events(&answer), all_events());
}

#[test]
async fn entries_that_start_together_find_each_other_and_one_plans() {
    let store = configured_store().await;
    let engines = engines(&store, 4).await;
    let (one, two) = tokio::join!(entry("one", &store), entry("two", &store));
    placed(&engines).await;
    assert_eq!(store.keys("entries"), ["one", "two"]);
    assert_eq!(store.keys("leases"), ["planner"]);
    for entry in [&one, &two] {
        let answer = ask(entry.callers, "POST", "/stream/x", "prompt").await;
        assert_eq!(events(&answer), all_events());
    }
}

#[test]
async fn a_server_that_leaves_gets_nothing_more_and_a_new_version_takes_force() {
    let store = configured_store().await;
    let one = Backend::start("plain-1", "plain", &store).await;
    let _two = Backend::start("plain-2", "plain", &store).await;
    let entry = entry("one", &store).await;
    store.remove("servers", "plain-1");
    store.put("op", "config", &config(2, LAYERS).replace("\"/safe/\"", "\"/moved/\""));
    until("the new version is in force", async || {
        ask(entry.callers, "GET", "/moved/x", "").await.status == 200
    })
    .await;
    sleep(Duration::from_millis(400)).await;
    let before = one.ran.borrow().len();
    for _ in 0..10 {
        let answer = ask(entry.callers, "GET", "/moved/x", "").await;
        assert_eq!(answer.body, "answer of plain-2");
    }
    assert_eq!(one.ran.borrow().len(), before);
    assert_eq!(ask(entry.callers, "GET", "/safe/x", "").await.status, 404);
}

#[test]
async fn an_entry_that_stops_ends_its_streams_first() {
    let store = configured_store().await;
    let (engines, entry) = placed_engines(&store, 4).await;
    let stop = async {
        until("a run has begun", async || engines.iter().any(|e| !e.ran.borrow().is_empty())).await;
        entry.stop();
        assert_eq!(ask(entry.readiness, "GET", "/-/readiness", "").await.status, 503);
    };
    let stopped = entry.stopped();
    let (answer, (), ()) =
        tokio::join!(ask(entry.callers, "POST", "/stream/x", "prompt"), stop, stopped);
    assert_eq!((events(&answer), answer.whole), (all_events(), true));
}

#[test]
async fn an_engine_that_is_leaving_is_not_asked_again_though_its_runs_go_on() {
    let store = configured_store().await;
    let (engines, entry) = placed_engines(&store, 9).await;
    let one_leaves = async {
        until("a run has begun", async || engines.iter().any(|e| !e.ran.borrow().is_empty())).await;
        let leaving = engines.iter().find(|e| !e.ran.borrow().is_empty()).expect("a first engine");
        leaving.leaving.set(true);
        for _ in 0..12 {
            spawn_local(ask(entry.callers, "POST", "/stream/x", "prompt"));
            sleep(Duration::from_millis(25)).await;
        }
        leaving.refused.get()
    };
    let (answer, refused) =
        tokio::join!(ask(entry.callers, "POST", "/stream/x", "prompt"), one_leaves);
    assert!(answer.whole, "the run that it has goes on");
    assert!(refused <= 2, "{refused} of 12 requests were refused");
}

#[test]
async fn an_engine_that_carries_out_an_order_is_not_taken_for_down() {
    let store = configured_store().await;
    let (engines, entry) = placed_engines(&store, 5).await;
    let one_loads = async {
        until("a run has begun", async || engines.iter().any(|e| !e.ran.borrow().is_empty())).await;
        let first = engines.iter().find(|e| !e.ran.borrow().is_empty()).expect("a first engine");
        let path = first.ran.borrow()[0].clone();
        let on_path = |e: &&Backend| e.id != first.id && path.contains(&e.address.to_string());
        let loads = engines.iter().find(on_path).expect("another engine on the path");
        loads.busy.set(true);
        first.stalled_by.set(Some(loads.address));
        sleep(Duration::from_millis(550)).await;
        first.stalled_by.set(None);
    };
    let (answer, ()) = tokio::join!(ask(entry.callers, "POST", "/stream/x", "prompt"), one_loads);
    assert_eq!(events(&answer), all_events());
    assert!(engines.iter().all(|engine| engine.repaths.borrow().is_empty()));
}

#[test]
async fn an_engine_that_left_the_list_counts_among_those_that_ran_a_stream() {
    let store = configured_store().await;
    // Three copies of the model, so that a third engine could begin a run.
    let (engines, entry) = placed_engines(&store, 14).await;
    let began = |engine: &&Backend| !engine.ran.borrow().is_empty();
    let count = || engines.iter().filter(began).count();
    for engine in &engines {
        engine.break_after.set(Some(6));
        engine.refuses_repaths.set(true);
    }
    let two_runs_end = async {
        until("a run has begun", async || count() == 1).await;
        let one = engines.iter().find(began).expect("a first engine");
        for engine in engines.iter().filter(|engine| engine.id != one.id) {
            engine.break_after.set(None);
        }
        store.remove("servers", &one.id);
        until("a second run has begun", async || count() == 2).await;
        let two = engines.iter().find(|e| began(e) && e.id != one.id).expect("a second engine");
        let path = two.ran.borrow()[0].clone();
        let on_path = |e: &&Backend| e.id != two.id && path.contains(&e.address.to_string());
        let lost = engines.iter().find(on_path).expect("another engine on the path");
        lost.dark.set(true);
        two.stalled_by.set(Some(lost.address));
        sleep(Duration::from_millis(1_500)).await;
        two.stalled_by.set(None);
    };
    tokio::join!(ask(entry.callers, "POST", "/stream/x", "prompt"), two_runs_end);
    assert_eq!(count(), 2, "no third engine while the first may still run it");
}
