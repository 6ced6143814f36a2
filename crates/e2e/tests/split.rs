//! Split models while stages fail. The engines' records are the oracle.

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

fn steps(record: &Value) -> Vec<String> {
    let steps = record["steps"].as_array().cloned().unwrap_or_default();
    let name = |step: &Value| format!("{}/{}/{}", step["request"], step["epoch"], step["token"]);
    steps.iter().map(name).collect()
}

/// Number of the backend server of a pool that has run steps.
async fn busy_stage(cluster: &Cluster, pool: &str) -> usize {
    for (number, backend) in cluster.backends.iter().enumerate() {
        if backend.pool() == pool && !steps(&backend.record().await).is_empty() {
            return number;
        }
    }
    panic!("no stage of {pool} is busy");
}

/// Streams an answer, strikes the busy stages of the pools after some tokens,
/// and checks the response and that no engine ran a step of an epoch twice.
async fn check(pools: &[&str], fault: Fault) {
    let mut cluster = Cluster::start(spec()).await;
    let client = cluster.client(0);
    let expected = client.chat("key-advisor", PROMPT, TOKENS).await.expect("an answer");
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
    eventually("the stream starts", started).await;
    let mut struck = Vec::new();
    for pool in pools {
        struck.push(busy_stage(&cluster, pool).await);
    }
    for number in &struck {
        cluster.backends[*number].inject(fault);
    }
    let response = streaming.await.expect("the task ends").expect("a stream");
    assert_eq!(response.error, None, "{fault:?}");
    assert_eq!(response.text, expected.chat_text(), "{fault:?}");
    assert!(response.done);
    for (number, backend) in cluster.backends.iter().enumerate() {
        if struck.contains(&number) {
            continue;
        }
        let steps = steps(&backend.record().await);
        let distinct: BTreeSet<_> = steps.iter().collect();
        assert_eq!(distinct.len(), steps.len(), "a step ran twice: {steps:?}");
        assert!(steps.len() <= TOKENS as usize, "{} steps", steps.len());
    }
}

#[actix_rt::test]
async fn the_last_stage_dies() {
    check(&["halves-last"], Fault::KillAgent).await;
}

#[actix_rt::test]
async fn the_last_stage_s_engine_dies() {
    check(&["halves-last"], Fault::KillServer).await;
}

#[actix_rt::test]
async fn the_last_stage_freezes() {
    check(&["halves-last"], Fault::FreezeAgent).await;
}

#[actix_rt::test]
async fn the_connection_to_the_last_stage_goes_silent() {
    check(&["halves-last"], Fault::SilenceConnection).await;
}

#[actix_rt::test]
async fn the_address_of_the_last_stage_goes_silent() {
    check(&["halves-last"], Fault::SilenceAddress).await;
}

#[actix_rt::test]
async fn the_head_dies() {
    check(&["halves-first"], Fault::KillAgent).await;
}

#[actix_rt::test]
async fn the_head_s_engine_dies() {
    check(&["halves-first"], Fault::KillServer).await;
}

#[actix_rt::test]
async fn the_head_freezes() {
    check(&["halves-first"], Fault::FreezeAgent).await;
}

#[actix_rt::test]
async fn the_address_of_the_head_goes_silent() {
    check(&["halves-first"], Fault::SilenceAddress).await;
}

#[actix_rt::test]
async fn both_stages_die_at_once() {
    check(&["halves-first", "halves-last"], Fault::KillAgent).await;
}
