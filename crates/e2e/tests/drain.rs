//! Graceful shutdown: requests in progress complete, and no new requests are sent to
//! an instance that is shutting down.

use std::cell::Cell;
use std::rc::Rc;

use clementine_e2e::{ApiClient, Cluster, ClusterSpec, RecordFile, eventually};

/// Number of concurrent requests.
const WORKERS: usize = 8;

/// Result counts of a background load, and the flag that stops it.
#[derive(Debug, Default)]
struct Load {
    succeeded: Cell<usize>,
    failed: Cell<usize>,
    stopped: Cell<bool>,
}

impl Load {
    fn record(&self, succeeded: bool) {
        let count = if succeeded { &self.succeeded } else { &self.failed };
        count.set(count.get() + 1);
    }
}

/// Sends short streams, orders and lookups in turn until the load is stopped.
async fn run_worker(client: ApiClient, worker: usize, load: Rc<Load>) {
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
        load.record(succeeded);
    }
}

/// Waits until `count` more requests have completed.
async fn wait_for_requests(load: &Rc<Load>, count: usize) {
    let wanted = load.succeeded.get() + load.failed.get() + count;
    let reached = || {
        let load = Rc::clone(load);
        async move { load.succeeded.get() + load.failed.get() >= wanted }
    };
    eventually("more requests complete", reached).await;
}

#[actix_rt::test]
async fn replacing_all_agents_fails_no_request() {
    let record = RecordFile::new("drain-agents");
    let spec = ClusterSpec::new(1).engines(2, "5ms").services(2, record.path(), "2ms");
    let mut cluster = Cluster::start(spec).await;
    let load = Rc::new(Load::default());
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| actix_rt::spawn(run_worker(cluster.client(0), worker, Rc::clone(&load))))
        .collect();
    for index in 0..cluster.backends.len() {
        wait_for_requests(&load, 30).await;
        cluster.backends[index].agent.terminate();
        let mut old = cluster.backends[index].replace_agent();
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
        worker.await.expect("task panicked");
    }
    assert_eq!(load.failed.get(), 0, "{} requests succeeded", load.succeeded.get());
    let keys = record.keys();
    let distinct: std::collections::BTreeSet<_> = keys.iter().collect();
    assert_eq!(distinct.len(), keys.len(), "an order ran twice");
}

#[actix_rt::test]
async fn entry_shutdown_completes_requests_in_progress() {
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
    eventually("all orders run", || async { record.keys().len() == 6 }).await;
    cluster.entries[0].process.terminate();
    for stream in streams {
        let stream = stream.await.expect("task panicked").expect("stream did not start");
        assert_eq!((stream.tokens, stream.done), (60, true));
    }
    for order in orders {
        assert_eq!(order.await.expect("task panicked").expect("no response").outcome, "ran");
    }
    for _ in 0..1_000 {
        if cluster.entries[0].process.has_exited() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("the entry did not exit");
}

#[actix_rt::test]
async fn agent_shutting_down_gets_no_new_requests_before_the_instance_list_changes() {
    let cluster =
        Cluster::start(ClusterSpec::new(1).engines(2, "0ms").agent_flag("leave-notice", "30s"))
            .await;
    let client = cluster.client(0);
    cluster.backends[0].agent.terminate();
    let is_leaving = || async {
        let state = cluster.entry_state(0).await;
        let fleet = state["fleet"].as_array().cloned().unwrap_or_default();
        fleet.iter().any(|member| member["news"]["state"] == "Leaving")
    };
    eventually("the entry sees the agent as leaving", is_leaving).await;
    let completion_count = || async {
        cluster.backends[0].record().await["completions"].as_array().map_or(0, Vec::len)
    };
    let before = completion_count().await;
    for _ in 0..30 {
        let response = client.chat("key-advisor", "Which?", 2).await.expect("no response");
        assert_eq!(response.outcome, "ran");
    }
    assert_eq!(completion_count().await, before);
}

#[actix_rt::test]
async fn backend_server_listed_as_terminating_gets_no_new_requests() {
    let cluster = Cluster::start(ClusterSpec::new(1).engines(2, "0ms")).await;
    let client = cluster.client(0);
    cluster.publish_instance_list(&[0]).await;
    let is_listed_as_leaving = || async {
        let state = cluster.entry_state(0).await;
        let fleet = state["fleet"].as_array().cloned().unwrap_or_default();
        fleet.iter().any(|member| member["listed"] == "Leaving")
    };
    eventually("the entry sees the backend server as leaving", is_listed_as_leaving).await;
    for _ in 0..30 {
        let response = client.chat("key-advisor", "Which?", 2).await.expect("no response");
        assert_eq!(response.outcome, "ran");
    }
    assert_eq!(cluster.backends[0].record().await["completions"], serde_json::json!([]));
}

#[actix_rt::test]
async fn second_sigterm_exits_immediately() {
    let mut cluster =
        Cluster::start(ClusterSpec::new(1).engines(1, "50ms").agent_flag("leave-notice", "1h"))
            .await;
    cluster.backends[0].agent.terminate();
    let is_leaving = || async {
        let state = cluster.entry_state(0).await;
        state["fleet"][0]["news"]["state"] == "Leaving"
    };
    eventually("the agent shuts down gracefully", is_leaving).await;
    assert!(!cluster.backends[0].agent.has_exited());
    cluster.backends[0].agent.terminate();
    for _ in 0..500 {
        if cluster.backends[0].agent.has_exited() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("the agent did not exit");
}
