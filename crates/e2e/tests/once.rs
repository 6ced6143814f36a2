//! At-most-once operations under failures. Checked against the service's own record
//! of the operations that it ran.

use std::rc::Rc;

use clementine_e2e::{ApiClient, ApiResponse, Cluster, ClusterSpec, RecordFile, eventually};
use futures::future::join_all;
use serde_json::json;

const BODY: &str = r#"{"blank":7}"#;

async fn start(record: &RecordFile, services: usize, answer_time: &str) -> Cluster {
    Cluster::start(ClusterSpec::new(2).services(services, record.path(), answer_time)).await
}

/// Sends an order in the background.
fn order_in_background(
    client: &ApiClient,
    key: &'static str,
) -> actix_rt::task::JoinHandle<Option<ApiResponse>> {
    let client = client.clone();
    actix_rt::spawn(async move { client.order(key, BODY).await })
}

async fn wait_until_run(record: &RecordFile, key: &str) {
    eventually("the operation runs", || async { record.run_count(key) == 1 }).await;
}

#[actix_rt::test]
async fn concurrent_requests_with_the_same_key_run_once_and_get_the_same_response() {
    let record = RecordFile::new("simultaneous");
    let cluster = start(&record, 3, "20ms").await;
    for round in 0..10 {
        let key = format!("k{round}");
        let clients: Vec<_> = (0..6).map(|n| cluster.client(n % 2)).collect();
        let responses = join_all(clients.iter().map(|client| client.order(&key, BODY))).await;
        let first = responses[0].clone().expect("no response");
        assert_eq!((first.status, first.outcome.as_str()), (200, "ran"));
        for response in responses {
            assert_eq!(response.expect("no response").body, first.body);
        }
        assert_eq!(record.run_count(&key), 1);
    }
}

#[actix_rt::test]
async fn reused_key_with_a_different_body_is_rejected() {
    let record = RecordFile::new("other-body");
    let cluster = start(&record, 1, "0ms").await;
    let first = cluster.client(0).order("k", BODY).await.expect("no response");
    assert_eq!(first.outcome, "ran");
    let other = cluster.client(1).order("k", r#"{"blank":8}"#).await.expect("no response");
    assert_eq!((other.status, other.error_code().as_str()), (422, "idempotency_key_reused"));
    assert_eq!(record.run_count("k"), 1);
}

#[actix_rt::test]
async fn retry_after_killed_entry_gets_the_response_of_the_running_operation() {
    let record = RecordFile::new("entry-killed");
    let mut cluster = start(&record, 2, "500ms").await;
    let lost = order_in_background(&cluster.client(0), "k");
    wait_until_run(&record, "k").await;
    cluster.entries[0].process.kill();
    let repeated = cluster.client(1).order("k", BODY).await.expect("no response");
    assert_eq!((repeated.status, repeated.outcome.as_str()), (200, "ran"));
    assert!(lost.await.expect("task panicked").is_none());
    assert_eq!(record.run_count("k"), 1);
}

#[actix_rt::test]
async fn killed_and_replaced_agent_gives_unknown_outcome_and_no_second_run() {
    let record = RecordFile::new("agent-killed");
    let mut cluster = start(&record, 1, "1s").await;
    let first = order_in_background(&cluster.client(0), "k");
    wait_until_run(&record, "k").await;
    cluster.backends[0].agent.kill();
    drop(cluster.backends[0].replace_agent());
    cluster.wait_until_serving().await;
    let first = first.await.expect("task panicked").expect("no response");
    assert_eq!(
        (first.outcome.as_str(), first.error_code().as_str()),
        ("unknown", "agent_replaced")
    );
    for entry in 0..2 {
        let repeated = cluster.client(entry).order("k", BODY).await.expect("no response");
        assert_eq!(repeated.outcome, "unknown");
    }
    assert_eq!(record.run_count("k"), 1);
    let other = cluster.client(0).order("k2", BODY).await.expect("no response");
    assert_eq!(other.outcome, "ran");
}

#[actix_rt::test]
async fn paused_agent_resumed_after_its_replacement_runs_nothing_twice() {
    let record = RecordFile::new("agent-paused");
    let mut cluster = start(&record, 1, "0ms").await;
    cluster.backends[0].agent.pause();
    let first = order_in_background(&cluster.client(0), "k");
    let repeated = order_in_background(&cluster.client(1), "k");
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let old = cluster.backends[0].replace_agent();
    let first = first.await.expect("task panicked").expect("no response");
    let repeated = repeated.await.expect("task panicked").expect("no response");
    old.resume();
    cluster.wait_until_serving().await;
    let later = cluster.client(1).order("k", BODY).await.expect("no response");
    let outcomes = [&first.outcome, &repeated.outcome, &later.outcome];
    let runs = record.run_count("k");
    assert!(runs <= 1, "{runs} runs, {outcomes:?}");
    // A reported `ran` must be true. `not-run` must not be reported, because the paused
    // agent may still run the operation.
    assert!(runs == 1 || !outcomes.iter().any(|outcome| *outcome == "ran"), "{outcomes:?}");
    assert!(outcomes.iter().all(|outcome| *outcome != "not-run"), "{outcomes:?}");
}

#[actix_rt::test]
async fn paused_agent_resumed_in_time_responds() {
    let record = RecordFile::new("agent-resumed");
    let cluster = start(&record, 1, "0ms").await;
    cluster.backends[0].agent.pause();
    let first = order_in_background(&cluster.client(0), "k");
    let repeated = order_in_background(&cluster.client(1), "k");
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    cluster.backends[0].agent.resume();
    for response in [first, repeated] {
        let response = response.await.expect("task panicked").expect("no response");
        assert_eq!((response.status, response.outcome.as_str()), (200, "ran"));
    }
    assert_eq!(record.run_count("k"), 1);
}

#[actix_rt::test]
async fn crashed_service_gives_unknown_outcome() {
    for (trigger, runs) in [("crash-before", 0), ("crash-after", 1)] {
        let record = RecordFile::new(trigger);
        let mut cluster = start(&record, 1, "0ms").await;
        let body = format!("{{\"note\":\"{trigger}\"}}");
        let first = cluster.client(0).order("k", &body).await.expect("no response");
        assert_eq!(
            (first.outcome.as_str(), first.error_code().as_str()),
            ("unknown", "backend_lost")
        );
        cluster.backends[0].restart_server();
        let repeated = cluster.client(1).order("k", &body).await.expect("no response");
        assert_eq!(repeated.outcome, "unknown");
        assert_eq!(record.run_count("k"), runs);
    }
}

#[actix_rt::test]
async fn unreachable_service_gives_outcome_not_run() {
    let record = RecordFile::new("service-down");
    let mut cluster = start(&record, 1, "0ms").await;
    cluster.backends[0].server.kill();
    let refused = cluster.client(0).order("k", BODY).await.expect("no response");
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.retry_after.is_some());
    cluster.backends[0].restart_server();
    cluster.wait_until_serving().await;
    let repeated = cluster.client(1).order("k", BODY).await.expect("no response");
    assert_eq!(repeated.outcome, "ran");
    assert_eq!(record.run_count("k"), 1);
}

#[actix_rt::test]
async fn lost_responses_of_the_table_service_cause_no_second_run() {
    let record = RecordFile::new("table-loses");
    let cluster = start(&record, 2, "0ms").await;
    cluster.set_platform_faults(&json!({ "table": "lose-answers" })).await;
    let first = cluster.client(0).order("k", BODY).await.expect("no response");
    cluster.set_platform_faults(&json!({ "table": "up" })).await;
    let repeated = cluster.client(1).order("k", BODY).await.expect("no response");
    assert_eq!(repeated.outcome, "ran");
    assert_ne!(first.outcome, "not-run");
    assert_eq!(record.run_count("k"), 1);
}

#[actix_rt::test]
async fn without_the_table_service_orders_do_not_run_but_lookups_do() {
    for mode in ["unavailable", "hang"] {
        let record = RecordFile::new(mode);
        let spec = ClusterSpec::new(2).services(1, record.path(), "0ms");
        let cluster = Rc::new(Cluster::start(spec.entry_flag("platform-call-time", "200ms")).await);
        let before = cluster.client(0).order("earlier", BODY).await.expect("no response");
        assert_eq!(before.outcome, "ran");
        cluster.set_platform_faults(&json!({ "table": mode })).await;
        let client = cluster.client(1);
        let repeated = client.order("earlier", BODY).await.expect("no response");
        assert_eq!(repeated.error_code(), "claim_unreadable");
        assert_eq!(repeated.outcome, "unknown");
        assert!(repeated.retry_after.is_some());
        let headers = [("idempotency-key", "new"), ("clementine-first-attempt", "true")];
        let fresh = client.send("POST", "/orders/cut", &headers, BODY).await.expect("no response");
        assert_eq!((fresh.status, fresh.outcome.as_str()), (503, "not-run"));
        assert_eq!(client.lookup().await.expect("no response").outcome, "ran");
        assert_eq!((record.run_count("earlier"), record.run_count("new")), (1, 0));

        cluster.set_platform_faults(&json!({ "table": "up" })).await;
        let ran = || async {
            let response = client.order("new", BODY).await;
            response.is_some_and(|response| response.outcome == "ran")
        };
        eventually("orders run again", ran).await;
        assert_eq!(record.run_count("new"), 1);
    }
}

#[actix_rt::test]
async fn requests_succeed_after_dedup_records_are_evicted() {
    let record = RecordFile::new("epochs");
    let spec =
        ClusterSpec::new(2).services(2, record.path(), "0ms").agent_flag("gate-records", "2");
    let cluster = Cluster::start(spec).await;
    for number in 0..30 {
        let response = cluster.client(number % 2).lookup().await.expect("no response");
        assert_eq!(response.outcome, "ran", "lookup {number}");
    }
    for number in 0..30 {
        let client = cluster.client(number % 2);
        let key = format!("k{number}");
        assert_eq!(client.order(&key, BODY).await.expect("no response").outcome, "ran");
        assert_eq!(record.run_count(&key), 1);
    }
}
