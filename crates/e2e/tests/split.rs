//! Models split into stages, while stages fail. Checked against the engines' own
//! records of the steps that they ran.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

use clementine_e2e::{Cluster, ClusterSpec, Fault, eventually};
use serde_json::Value;

const TOKENS: u32 = 24;
const PROMPT: &str = "Which stage comes next?";

fn spec() -> ClusterSpec {
    ClusterSpec::new(1).engines(1, "0ms").stages("halves-first", 2, "0-15", "10ms").stages(
        "halves-last",
        2,
        "16-31",
        "10ms",
    )
}

/// Returns the steps in a record, as `REQUEST/EPOCH/TOKEN`.
fn steps(record: &Value) -> Vec<String> {
    let steps = record["steps"].as_array().cloned().unwrap_or_default();
    let name = |step: &Value| format!("{}/{}/{}", step["request"], step["epoch"], step["token"]);
    steps.iter().map(name).collect()
}

/// Returns the index of the backend server of a pool that has run steps.
async fn busy_stage(cluster: &Cluster, pool: &str) -> usize {
    for (index, backend) in cluster.backends.iter().enumerate() {
        if backend.pool() == pool && !steps(&backend.record().await).is_empty() {
            return index;
        }
    }
    panic!("no stage of {pool} is busy");
}

/// Injects a fault into the stages that serve a stream, after some tokens. Checks
/// that the response is complete and that no other engine ran a step of an epoch
/// twice.
async fn check(pools: &[&str], fault: Fault) {
    let mut cluster = Cluster::start(spec()).await;
    let client = cluster.client(0);
    let expected = client.chat("key-advisor", PROMPT, TOKENS).await.expect("no response");
    let count = Rc::new(Cell::new(0));
    let streaming = {
        let count = Rc::clone(&count);
        actix_rt::spawn(async move {
            client.stream_chat("key-advisor-large", PROMPT, TOKENS, |n| count.set(n)).await
        })
    };
    let started = || {
        let count = Rc::clone(&count);
        async move { count.get() >= 6 }
    };
    eventually("the stream has 6 tokens", started).await;
    let mut faulty = Vec::new();
    for pool in pools {
        faulty.push(busy_stage(&cluster, pool).await);
    }
    for index in &faulty {
        cluster.backends[*index].inject(fault);
    }
    let response = streaming.await.expect("task panicked").expect("stream did not start");
    assert_eq!(response.error, None, "{fault:?}");
    assert_eq!(response.text, expected.chat_text(), "{fault:?}");
    assert!(response.done);
    for (index, backend) in cluster.backends.iter().enumerate() {
        if faulty.contains(&index) {
            continue;
        }
        let steps = steps(&backend.record().await);
        let distinct: BTreeSet<_> = steps.iter().collect();
        assert_eq!(distinct.len(), steps.len(), "a step ran twice: {steps:?}");
        assert!(steps.len() <= TOKENS as usize, "{} steps", steps.len());
    }
}

#[actix_rt::test]
async fn stream_survives_killed_agent_of_last_stage() {
    check(&["halves-last"], Fault::KillAgent).await;
}

#[actix_rt::test]
async fn stream_survives_killed_engine_of_last_stage() {
    check(&["halves-last"], Fault::KillServer).await;
}

#[actix_rt::test]
async fn stream_survives_paused_agent_of_last_stage() {
    check(&["halves-last"], Fault::FreezeAgent).await;
}

#[actix_rt::test]
async fn stream_survives_blackholed_connection_to_last_stage() {
    check(&["halves-last"], Fault::SilenceConnection).await;
}

#[actix_rt::test]
async fn stream_survives_blackholed_address_of_last_stage() {
    check(&["halves-last"], Fault::SilenceAddress).await;
}

#[actix_rt::test]
async fn stream_survives_killed_agent_of_first_stage() {
    check(&["halves-first"], Fault::KillAgent).await;
}

#[actix_rt::test]
async fn stream_survives_killed_engine_of_first_stage() {
    check(&["halves-first"], Fault::KillServer).await;
}

#[actix_rt::test]
async fn stream_survives_paused_agent_of_first_stage() {
    check(&["halves-first"], Fault::FreezeAgent).await;
}

#[actix_rt::test]
async fn stream_survives_blackholed_address_of_first_stage() {
    check(&["halves-first"], Fault::SilenceAddress).await;
}

#[actix_rt::test]
async fn stream_survives_killed_agents_of_both_stages() {
    check(&["halves-first", "halves-last"], Fault::KillAgent).await;
}
