//! Requests that crash backend servers.

use clementine_e2e::{Cluster, ClusterSpec};

const ENGINES: usize = 8;

fn spec() -> ClusterSpec {
    ClusterSpec::new(2).backends(
        "assistants",
        ENGINES,
        &["engine", "--token-time", "5ms", "--crash-on", "poison"],
    )
}

fn crashed(cluster: &mut Cluster) -> usize {
    cluster.backends.iter_mut().map(|backend| usize::from(backend.server.has_exited())).sum()
}

#[actix_rt::test]
async fn a_request_that_crashes_engines_is_stopped_at_the_second() {
    let mut cluster = Cluster::start(spec()).await;
    for repeat in 0..6 {
        let response = cluster.client(repeat % 2).chat("key-advisor", "poison", 4).await;
        let response = response.expect("an answer");
        let told = (response.status, response.error_code(), response.outcome);
        let expected = match repeat {
            0 => (422, "crashed_backends".to_owned(), "unknown".to_owned()),
            _ => (422, "quarantined".to_owned(), "not-run".to_owned()),
        };
        assert_eq!(told, expected, "repeat {repeat}");
    }
    let crashed = crashed(&mut cluster);
    assert!(crashed <= 2, "{crashed} engines were lost");
}

#[actix_rt::test]
async fn bystanders_of_a_crash_get_their_answers() {
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
    let poison = cluster.client(0).chat("key-advisor", "poison", 4).await.expect("an answer");
    assert_eq!(poison.error_code(), "crashed_backends");
    for stream in streams {
        let stream = stream.await.expect("the task ends").expect("a stream");
        assert_eq!((stream.tokens, stream.done, stream.error), (40, true, None));
    }
}
