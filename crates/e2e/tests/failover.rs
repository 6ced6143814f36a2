//! Failover of streams and lookups when backend servers, agents or connections fail.

use std::cell::Cell;
use std::rc::Rc;

use clementine_e2e::{ApiClient, Cluster, ClusterSpec, Fault, RecordFile, StreamedResponse};

const TOKENS: u32 = 30;

/// Returns the index of the backend server that has a request in progress.
async fn busy_backend(cluster: &Cluster) -> usize {
    let state = cluster.entry_state(0).await;
    let fleet = state["fleet"].as_array().cloned().unwrap_or_default();
    let busy =
        fleet.iter().find(|member| member["outstanding"] == 1).expect("no backend server is busy");
    let address = busy["address"].as_str().expect("no address").to_owned();
    let found = cluster.backends.iter().position(|b| b.proxy.address().to_string() == address);
    found.expect("unknown backend server")
}

/// Starts a stream, injects a fault into the backend server that serves it after 5
/// tokens, and returns the response.
async fn stream_with_fault(
    cluster: &mut Cluster,
    client: &ApiClient,
    fault: Fault,
) -> StreamedResponse {
    let count = Rc::new(Cell::new(0));
    let streaming = {
        let (client, count) = (client.clone(), Rc::clone(&count));
        actix_rt::spawn(async move {
            client.stream_chat("key-advisor", "Which?", TOKENS, |n| count.set(n)).await
        })
    };
    let started = || {
        let count = Rc::clone(&count);
        async move { count.get() >= 5 }
    };
    clementine_e2e::eventually("the stream has 5 tokens", started).await;
    let busy = busy_backend(cluster).await;
    cluster.backends[busy].inject(fault);
    streaming.await.expect("task panicked").expect("stream did not start")
}

async fn total_completions(cluster: &Cluster) -> usize {
    let mut total = 0;
    for backend in &cluster.backends {
        total += backend.record().await["completions"].as_array().map_or(0, Vec::len);
    }
    total
}

/// Checks that a stream is complete despite a fault, and if `may_rerun` is false,
/// that it was not run again.
async fn check(fault: Fault, may_rerun: bool) {
    let mut cluster = Cluster::start(ClusterSpec::new(1).engines(2, "20ms")).await;
    let client = cluster.client(0);
    let expected = client.chat("key-advisor", "Which?", TOKENS).await.expect("no response");
    let response = stream_with_fault(&mut cluster, &client, fault).await;
    assert_eq!(response.text, expected.chat_text(), "{fault:?}");
    assert_eq!((response.tokens, response.done, response.error), (TOKENS as usize, true, None));
    if !may_rerun {
        assert_eq!(total_completions(&cluster).await, 2, "{fault:?} ran the request again");
    }
}

#[actix_rt::test]
async fn stream_survives_killed_engine() {
    check(Fault::KillServer, true).await;
}

#[actix_rt::test]
async fn stream_survives_killed_agent() {
    check(Fault::KillAgent, true).await;
}

#[actix_rt::test]
async fn stream_survives_paused_agent() {
    check(Fault::FreezeAgent, true).await;
}

#[actix_rt::test]
async fn stream_survives_blackholed_address() {
    check(Fault::SilenceAddress, true).await;
}

#[actix_rt::test]
async fn blackholed_connection_is_replaced_without_rerunning_the_request() {
    check(Fault::SilenceConnection, false).await;
}

#[actix_rt::test]
async fn closed_connection_is_replaced_without_rerunning_the_request() {
    check(Fault::CutConnection, false).await;
}

#[actix_rt::test]
async fn lookups_survive_killed_service_and_paused_agent() {
    let record = RecordFile::new("lookups");
    let mut cluster = Cluster::start(ClusterSpec::new(1).services(3, record.path(), "0ms")).await;
    let client = cluster.client(0);
    cluster.backends[0].server.kill();
    cluster.backends[1].agent.pause();
    for _ in 0..20 {
        let response = client.lookup().await.expect("no response");
        assert_eq!((response.status, response.outcome.as_str()), (200, "ran"));
    }
    cluster.backends[1].agent.resume();
}
