//! Streams of sticky routes whose prompts begin with the same parts.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use clementine_decide::prefixes::PrefixAffinity;
use clementine_direct::{Running, start};
use clementine_platform::settings::InstanceSettings;
use common::{
    Backend, Store, config, send_request, send_request_with_headers, settings, wait_until,
};
use tokio::time::sleep;

/// Number of layers of the model.
const LAYERS: u32 = 4;
/// Two engines for each layer.
const ENGINES: usize = 8;
/// Prefill takes 100 ms on one engine, much longer than the few tokens of output.
const TOKEN_COUNT: &str = "1500,2";
const PREFILL_TIME: Duration = Duration::from_millis(100);
/// Number of streams that begin while the first one runs. All of them fit into the slots
/// of one engine.
const FOLLOWERS: usize = 4;

/// Engines that read 15 tokens per ms, and a route that may be sticky. Its target gap is
/// too short for a loss bound, which goes before affinity: the time to repair a loss grows
/// with each stream on an engine, and would soon outweigh what is saved.
fn config_with(sticky: bool) -> String {
    config(1, LAYERS)
        .replace(r#""read_per_s":196000.0"#, r#""read_per_s":15000.0"#)
        .replace(r#""prompt":800"#, r#""prompt":10"#)
        .replace(r#""target-gap-ms":200"#, r#""target-gap-ms":100"#)
        .replace(r#""resumable""#, &format!(r#""sticky":{sticky},"resumable""#))
}

async fn start_entry_with(store: &Store, prefix_affinity: PrefixAffinity) -> Running {
    let entry = start(InstanceSettings { prefix_affinity, ..settings("one", store) });
    let entry = entry.expect("entry starts");
    wait_until("the entry is ready", async || {
        send_request(entry.readiness, "GET", "/-/readiness", "").await.status == 200
    })
    .await;
    entry
}

/// Paths of a stream and of others that begin while it runs, with the same parts.
async fn paths(sticky: bool, affinity: PrefixAffinity, parts: &str) -> HashSet<String> {
    let store = Store::start().await;
    store.put("op", "config", &config_with(sticky));
    let entry = start_entry_with(&store, affinity).await;
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        engines.push(Backend::start(&format!("engine-{n}"), "model", &store).await);
    }
    wait_until("all engines host layers", async || engines.iter().all(Backend::holds_layers)).await;
    sleep(Duration::from_millis(600)).await;
    let send = async |after: Duration, id: &str| {
        sleep(after).await;
        let headers = [
            ("x-api-key", "key"),
            ("request-id", id),
            ("token-count", TOKEN_COUNT),
            ("prompt-prefix", parts),
        ];
        let (method, path) = ("POST", "/stream/x");
        assert!(
            send_request_with_headers(entry.callers, method, path, "b", &headers).await.complete
        );
    };
    let after = |n: u32| PREFILL_TIME + Duration::from_millis(30 + 10 * u64::from(n));
    tokio::join!(
        send(Duration::ZERO, "a0"),
        send(after(0), "a1"),
        send(after(1), "a2"),
        send(after(2), "a3"),
        send(after(3), "a4"),
    );
    let paths: Vec<String> =
        engines.iter().flat_map(|engine| engine.run_paths.borrow().clone()).collect();
    assert_eq!(paths.len(), 1 + FOLLOWERS);
    paths.into_iter().collect()
}

/// Guards against streams that are spread although the engines of the first one have
/// the KV cache of nearly all of the prompt.
#[actix_rt::test]
async fn streams_with_the_same_prefix_take_the_same_path() {
    let paths = paths(true, PrefixAffinity::On, "aa:1490,1:10").await;
    assert_eq!(paths.len(), 1, "{paths:?}");
}

/// Guards against affinity where the operator or the route doesn't ask for it, or where
/// requests share nothing.
#[actix_rt::test]
async fn streams_are_spread_where_affinity_does_not_apply() {
    for (sticky, affinity, parts) in [
        (true, PrefixAffinity::Off, "aa:1490,1:10"),
        (false, PrefixAffinity::On, "aa:1490,1:10"),
        (true, PrefixAffinity::On, "aa:1500"),
    ] {
        let paths = paths(sticky, affinity, parts).await;
        assert!(paths.len() > 1, "sticky={sticky} {affinity:?} {parts}: {paths:?}");
    }
}
