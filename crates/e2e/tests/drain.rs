//! Instances that leave: no request is cut short.

use std::cell::Cell;
use std::rc::Rc;

use clementine_e2e::{ApiClient, Cluster, ClusterSpec, RecordFile, eventually};

/// Requests in progress at a time.
const WORKERS: usize = 8;

/// Counts of a load that runs until it is stopped.
#[derive(Debug, Default)]
struct Load {
    answered: Cell<usize>,
    failed: Cell<usize>,
    stopped: Cell<bool>,
}

impl Load {
    fn note(&self, succeeded: bool) {
        let count = if succeeded { &self.answered } else { &self.failed };
        count.set(count.get() + 1);
    }
}

/// Sends short streams, lookups and orders in turn, each of which must
/// succeed.
async fn work(client: ApiClient, worker: usize, load: Rc<Load>) {
    let mut round = 0;
    while !load.stopped.get() {
        round += 1;
        let succeeded = match round % 3 {
            0 => client.lookup().await.is_some_and(|response| response.outcome == "ran"),
            1 => {
                let stream = client.stream_chat("key-advisor", "Which?", 10, |_| {}).await;
                stream.is_some_and(|stream| stream.done && stream.tokens == 10)
            }
            _ => {
                let response = client.order(&format!("w{worker}-{round}"), "{}").await;
                response.is_some_and(|response| response.outcome == "ran")
            }
        };
        load.note(succeeded);
    }
}

async fn answered_more(load: &Rc<Load>, more: usize) {
    let wanted = load.answered.get() + load.failed.get() + more;
    let reached = || {
        let load = Rc::clone(load);
        async move { load.answered.get() + load.failed.get() >= wanted }
    };
    eventually("the load goes on", reached).await;
}

#[actix_rt::test]
async fn replacing_all_agents_cuts_no_request() {
    let record = RecordFile::new("drain-agents");
    let spec = ClusterSpec::new(1).engines(2, "5ms").services(2, record.path(), "2ms");
    let mut cluster = Cluster::start(spec).await;
    let load = Rc::new(Load::default());
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| actix_rt::spawn(work(cluster.client(0), worker, Rc::clone(&load))))
        .collect();
    for number in 0..cluster.backends.len() {
        answered_more(&load, 30).await;
        cluster.backends[number].agent.terminate();
        let mut old = cluster.backends[number].replace_agent();
        for _ in 0..2_000 {
            if old.has_exited() {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        cluster.wait_until_serving().await;
    }
    load.stopped.set(true);
    for worker in workers {
        worker.await.expect("the task ends");
    }
    assert_eq!(load.failed.get(), 0, "{} answered", load.answered.get());
    let keys = record.keys();
    let distinct: std::collections::BTreeSet<_> = keys.iter().collect();
    assert_eq!(distinct.len(), keys.len(), "an order ran twice");
}

#[actix_rt::test]
async fn a_leaving_entry_cuts_no_request() {
    let record = RecordFile::new("drain-entry");
    let spec = ClusterSpec::new(1).engines(2, "10ms").services(1, record.path(), "100ms");
    let mut cluster = Cluster::start(spec).await;
    let client = cluster.client(0);
    let streams: Vec<_> = (0..6)
        .map(|_| {
            let client = client.clone();
            actix_rt::spawn(
                async move { client.stream_chat("key-advisor", "Which?", 60, |_| {}).await },
            )
        })
        .collect();
    let orders: Vec<_> = (0..6)
        .map(|n| {
            let client = client.clone();
            actix_rt::spawn(async move { client.order(&format!("k{n}"), "{}").await })
        })
        .collect();
    eventually("the orders run", || async { record.keys().len() == 6 }).await;
    cluster.entries[0].process.terminate();
    for stream in streams {
        let stream = stream.await.expect("the task ends").expect("a stream");
        assert_eq!((stream.tokens, stream.done), (60, true));
    }
    for order in orders {
        assert_eq!(order.await.expect("the task ends").expect("an answer").outcome, "ran");
    }
    for _ in 0..1_000 {
        if cluster.entries[0].process.has_exited() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("the entry did not end");
}

#[actix_rt::test]
async fn an_agent_that_says_it_leaves_gets_no_new_work_while_the_list_lags() {
    let cluster =
        Cluster::start(ClusterSpec::new(1).engines(2, "0ms").agent_flag("leave-notice", "30s"))
            .await;
    let client = cluster.client(0);
    cluster.backends[0].agent.terminate();
    let leaving = || async {
        let state = cluster.entry_state(0).await;
        let fleet = state["fleet"].as_array().cloned().unwrap_or_default();
        fleet.iter().any(|member| member["news"]["state"] == "Leaving")
    };
    eventually("the entry knows", leaving).await;
    let count = || async {
        cluster.backends[0].record().await["completions"].as_array().map_or(0, Vec::len)
    };
    let before = count().await;
    for _ in 0..30 {
        let response = client.chat("key-advisor", "Which?", 2).await.expect("an answer");
        assert_eq!(response.outcome, "ran");
    }
    assert_eq!(count().await, before);
}

#[actix_rt::test]
async fn a_backend_server_that_the_list_shows_as_leaving_gets_no_new_work() {
    let cluster = Cluster::start(ClusterSpec::new(1).engines(2, "0ms")).await;
    let client = cluster.client(0);
    cluster.publish_instance_list(&[0]).await;
    let known = || async {
        let state = cluster.entry_state(0).await;
        let fleet = state["fleet"].as_array().cloned().unwrap_or_default();
        fleet.iter().any(|member| member["listed"] == "Leaving")
    };
    eventually("the entry knows", known).await;
    for _ in 0..30 {
        let response = client.chat("key-advisor", "Which?", 2).await.expect("an answer");
        assert_eq!(response.outcome, "ran");
    }
    assert_eq!(cluster.backends[0].record().await["completions"], serde_json::json!([]));
}

#[actix_rt::test]
async fn a_second_signal_ends_the_process_at_once() {
    let mut cluster =
        Cluster::start(ClusterSpec::new(1).engines(1, "50ms").agent_flag("leave-notice", "1h"))
            .await;
    cluster.backends[0].agent.terminate();
    let leaving = || async {
        let state = cluster.entry_state(0).await;
        state["fleet"][0]["news"]["state"] == "Leaving"
    };
    eventually("the agent drains", leaving).await;
    assert!(!cluster.backends[0].agent.has_exited());
    cluster.backends[0].agent.terminate();
    for _ in 0..500 {
        if cluster.backends[0].agent.has_exited() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("the agent did not end");
}
