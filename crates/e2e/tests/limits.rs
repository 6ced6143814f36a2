//! Limits of a workspace are enforced across all entries.

use std::time::Duration;

use clementine_e2e::{ApiClient, ApiResponse, Cluster, ClusterSpec, RecordFile, eventually};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

const ENTRIES: usize = 3;

/// The workspace of the example configuration, with limits.
fn workspace(limits: &str) -> String {
    format!(
        "{{kind: workspace, name: sofia-kiosks, priority: counter, deadline: 30s, \
         token-sha256: [93d5f5039bbd45989d8f6920714e8a65823354f1c719dbc55bd9182dc7511e6a], \
         models: [key-advisor, key-advisor-large], routes: [stock, cut-orders], \
         limits: {{{limits}}}}}"
    )
}

/// Applies the limits and waits until all entries have exchanged their use once.
async fn apply_limits(cluster: &Cluster, limits: &str) {
    cluster.apply(&workspace(limits)).await;
    for entry in 0..ENTRIES {
        eventually("the entry uses the limits", || async { cluster.revision(entry).await == "2" })
            .await;
    }
    sleep(Duration::from_secs(2)).await;
}

fn assert_refused(response: &ApiResponse, limit: &str) {
    assert_eq!(response.status, 429);
    assert_eq!(response.error_code(), "limit_reached");
    assert_eq!(response.outcome, "not-run");
    assert!(response.retry_after.is_some());
    assert!(response.json()["error"]["message"].as_str().is_some_and(|m| m.contains(limit)));
}

/// Sends 25 requests per second for a time. Returns the responses.
async fn send_steadily(client: &ApiClient, time: Duration) -> Vec<ApiResponse> {
    let end = Instant::now() + time;
    let mut responses = Vec::new();
    while Instant::now() < end {
        responses.push(client.lookup().await.expect("no response"));
        sleep(Duration::from_millis(40)).await;
    }
    responses
}

/// Guards against a rate limit that each entry applies for itself, which allows as many
/// times the limit as there are entries.
#[actix_rt::test]
async fn requests_per_second_are_limited_across_entries() {
    let record = RecordFile::new("limits");
    let spec = ClusterSpec::new(ENTRIES).services(2, record.path(), "0ms");
    let cluster = Cluster::start(spec).await;
    apply_limits(&cluster, "requests-per-second: 10").await;
    let clients: Vec<_> = (0..ENTRIES).map(|entry| cluster.client(entry)).collect();
    let send = async |seconds| {
        let sent = clients.iter().map(|client| send_steadily(client, Duration::from_secs(seconds)));
        join_all(sent).await.concat()
    };
    send(2).await;
    let responses = send(6).await;
    let (served, refused): (Vec<_>, Vec<_>) =
        responses.into_iter().partition(|response| response.status == 200);
    println!("served={} refused={}", served.len(), refused.len());
    assert!((48..=72).contains(&served.len()), "{} served in 6 s", served.len());
    assert!(refused.len() > 60);
    for response in &refused {
        assert_refused(response, "requests-per-second");
    }
}

/// Guards against a concurrency limit that each entry applies for itself, and against
/// requests that still count after they have ended.
#[actix_rt::test]
async fn concurrent_requests_are_limited_across_entries() {
    let cluster = Cluster::start(ClusterSpec::new(ENTRIES).engines(2, "100ms")).await;
    apply_limits(&cluster, "concurrent: 4").await;
    let clients: Vec<_> = (0..ENTRIES).map(|entry| cluster.client(entry)).collect();
    let send = async |n: usize| {
        sleep(Duration::from_millis(400) * n as u32).await;
        clients[n % ENTRIES].chat("key-advisor", "Which?", 60).await.expect("no response")
    };
    for _ in 0..2 {
        let responses = join_all((0..6).map(&send)).await;
        let (served, refused): (Vec<_>, Vec<_>) =
            responses.into_iter().partition(|response| response.status == 200);
        assert_eq!((served.len(), refused.len()), (4, 2));
        for response in &refused {
            assert_refused(response, "concurrent");
        }
        sleep(Duration::from_millis(500)).await;
    }
}
