//! Entries and agents that were paused run no request whose deadline has passed.

use std::time::Duration;

use clementine_e2e::{Cluster, ClusterSpec, RecordFile};

/// Longer than the deadline of the requests.
const PAUSE: Duration = Duration::from_millis(1_500);
const DEADLINE: (&str, &str) = ("clementine-deadline", "600ms");

async fn start(record: &RecordFile) -> Cluster {
    Cluster::start(ClusterSpec::new(1).services(1, record.path(), "0ms")).await
}

/// Guards against running an order that waited in the paused entry past its deadline.
#[actix_rt::test]
async fn order_that_waited_in_a_paused_entry_past_its_deadline_does_not_run() {
    let record = RecordFile::new("paused-entry");
    let cluster = start(&record).await;
    cluster.entries[0].process.pause();
    let client = cluster.client(0);
    let order = actix_rt::spawn(async move {
        let headers = [("idempotency-key", "k"), DEADLINE];
        client.send("POST", "/orders/cut", &headers, "{}").await
    });
    tokio::time::sleep(PAUSE).await;
    cluster.entries[0].process.resume();
    let response = order.await.expect("task panicked").expect("no response");
    assert_eq!(response.outcome, "not-run", "{response:?}");
    assert_eq!(record.run_count("k"), 0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let headers = [("idempotency-key", "k2"), DEADLINE];
    let later = cluster.client(0).send("POST", "/orders/cut", &headers, "{}").await;
    assert_eq!(later.expect("no response").outcome, "ran");
}

/// Guards against running an order that waited in the paused agent past its deadline.
#[actix_rt::test]
async fn order_that_waited_in_a_paused_agent_past_its_deadline_does_not_run() {
    let record = RecordFile::new("paused-agent");
    let cluster = start(&record).await;
    cluster.backends[0].agent.pause();
    let headers = [("idempotency-key", "k"), DEADLINE];
    let response = cluster.client(0).send("POST", "/orders/cut", &headers, "{}").await;
    assert_eq!(response.expect("no response").outcome, "unknown");
    tokio::time::sleep(PAUSE).await;
    cluster.backends[0].agent.resume();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(record.run_count("k"), 0);
}
