//! Safe requests while backend servers, agents and connections fail.

use std::cell::Cell;
use std::rc::Rc;

use clementine_e2e::{Caller, Fault, Hub, HubPlan, RecordFile, StreamedAnswer};

const TOKENS: u32 = 30;

/// Number of the backend server that has a request in progress.
async fn busy_backend(hub: &Hub) -> usize {
    let state = hub.entry_state(0).await;
    let fleet = state["fleet"].as_array().cloned().unwrap_or_default();
    let busy = fleet.iter().find(|member| member["outstanding"] == 1).expect("a busy member");
    let address = busy["address"].as_str().expect("an address").to_owned();
    let found = hub.backends.iter().position(|b| b.proxy.address().to_string() == address);
    found.expect("a known backend server")
}

/// Streams an answer and strikes after a number of tokens.
async fn stream_under(hub: &mut Hub, caller: &Caller, fault: Fault) -> StreamedAnswer {
    let count = Rc::new(Cell::new(0));
    let streaming = {
        let (caller, count) = (caller.clone(), Rc::clone(&count));
        actix_rt::spawn(async move {
            caller.stream_chat("key-advisor", "Which?", TOKENS, |n| count.set(n)).await
        })
    };
    let started = || {
        let count = Rc::clone(&count);
        async move { count.get() >= 5 }
    };
    clementine_e2e::eventually("the stream starts", started).await;
    let busy = busy_backend(hub).await;
    hub.backends[busy].strike(fault);
    streaming.await.expect("the task ends").expect("a stream")
}

async fn total_completions(hub: &Hub) -> usize {
    let mut total = 0;
    for backend in &hub.backends {
        total += backend.record().await["completions"].as_array().map_or(0, Vec::len);
    }
    total
}

async fn check(fault: Fault, reruns: bool) {
    let mut hub = Hub::start(HubPlan::new(1).engines(2, "20ms")).await;
    let caller = hub.caller(0);
    let expected = caller.chat("key-advisor", "Which?", TOKENS).await.expect("an answer");
    let answer = stream_under(&mut hub, &caller, fault).await;
    assert_eq!(answer.text, expected.chat_text(), "{fault:?}");
    assert_eq!((answer.tokens, answer.done, answer.error), (TOKENS as usize, true, None));
    if !reruns {
        assert_eq!(total_completions(&hub).await, 2, "{fault:?} ran the request again");
    }
}

#[actix_rt::test]
async fn a_stream_survives_a_killed_engine() {
    check(Fault::KillServer, true).await;
}

#[actix_rt::test]
async fn a_stream_survives_a_killed_agent() {
    check(Fault::KillAgent, true).await;
}

#[actix_rt::test]
async fn a_stream_survives_a_frozen_agent() {
    check(Fault::FreezeAgent, true).await;
}

#[actix_rt::test]
async fn a_stream_survives_an_address_that_goes_silent() {
    check(Fault::SilenceAddress, true).await;
}

#[actix_rt::test]
async fn a_silent_connection_is_replaced_without_a_second_run() {
    check(Fault::SilenceConnection, false).await;
}

#[actix_rt::test]
async fn a_cut_connection_is_replaced_without_a_second_run() {
    check(Fault::CutConnection, false).await;
}

#[actix_rt::test]
async fn lookups_survive_each_failure() {
    let record = RecordFile::new("lookups");
    let mut hub = Hub::start(HubPlan::new(1).services(3, record.path(), "0ms")).await;
    let caller = hub.caller(0);
    hub.backends[0].server.kill();
    hub.backends[1].agent.freeze();
    for _ in 0..20 {
        let answer = caller.lookup().await.expect("an answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
    }
    hub.backends[1].agent.wake();
}
