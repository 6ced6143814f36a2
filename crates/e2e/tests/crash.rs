//! Requests that crash the backend servers that run them.

use clementine_e2e::{Cluster, ClusterSpec};

const ENGINES: usize = 8;

fn spec() -> ClusterSpec {
    ClusterSpec::new(2).backends(
        "assistants",
        ENGINES,
        &["engine", "--token-time", "5ms", "--crash-on", "poison"],
    )
}

/// Returns the number of engines that have exited.
fn crashed_engines(cluster: &mut Cluster) -> usize {
    cluster.backends.iter_mut().map(|backend| usize::from(backend.server.has_exited())).sum()
}

#[actix_rt::test]
async fn request_that_crashes_engines_is_quarantined_after_two_crashes() {
    let mut cluster = Cluster::start(spec()).await;
    for repeat in 0..6 {
        let response = cluster.client(repeat % 2).chat("key-advisor", "poison", 4).await;
        let response = response.expect("no response");
        let result = (response.status, response.error_code(), response.outcome);
        let expected = match repeat {
            0 => (422, "crashed_backends".to_owned(), "unknown".to_owned()),
            _ => (422, "quarantined".to_owned(), "not-run".to_owned()),
        };
        assert_eq!(result, expected, "repeat {repeat}");
    }
    let crashed = crashed_engines(&mut cluster);
    assert!(crashed <= 2, "{crashed} engines crashed");
}

#[actix_rt::test]
async fn other_requests_on_crashed_engines_complete() {
    let cluster = Cluster::start(spec()).await;
    let streams: Vec<_> = (0..24)
        .map(|n| {
            let client = cluster.client(n % 2);
            actix_rt::spawn(async move {
                client.stream_chat("key-advisor", &format!("question {n}"), 40, |_| {}).await
            })
        })
        .collect();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let poison = cluster.client(0).chat("key-advisor", "poison", 4).await.expect("no response");
    assert_eq!(poison.error_code(), "crashed_backends");
    for stream in streams {
        let stream = stream.await.expect("task panicked").expect("stream did not start");
        assert_eq!((stream.tokens, stream.done, stream.error), (40, true, None));
    }
}
