//! Simulated store, backend servers and callers for entries under test. They run
//! on the thread of the test.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

mod backend;
mod caller;
mod entry_process;
mod entry_thread;
mod scripted;
mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use clementine_decide::prefixes::PrefixAffinity;
use clementine_direct::{Running, start};
use clementine_objects::Millis;
use clementine_platform::settings::{InstanceBounds, InstanceSettings};
use tokio::time::sleep;

#[allow(unused_imports, reason = "each test file uses only some of the helpers")]
pub use backend::{Backend, Behaviour, CrashStyle, RunCrash};
#[allow(unused_imports, reason = "each test file uses only some of the helpers")]
pub use caller::{
    CallerResponse, queue_request, request_head, send_request, send_request_with_headers,
};
#[allow(unused_imports, reason = "each test file uses only some of the helpers")]
pub use entry_process::EntryProcess;
#[allow(unused_imports, reason = "each test file uses only some of the helpers")]
pub use entry_thread::EntryThread;
#[allow(unused_imports, reason = "each test file uses only some of the helpers")]
pub use scripted::{list_server, signed, signed_head};
#[allow(unused_imports, reason = "each test file uses only some of the helpers")]
pub use store::{PollMode, Store, StoreCopy};

/// Timeout of a condition that needs several calls between the processes.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Loopback address with a port that the operating system chooses.
pub fn loopback_any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Waits until a condition holds, and panics if it does not in time.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let mut waited = Duration::ZERO;
    while !condition().await {
        assert!(
            waited < CONDITION_TIMEOUT,
            "timed out after {CONDITION_TIMEOUT:?} waiting until {what}"
        );
        sleep(Duration::from_millis(20)).await;
        waited += Duration::from_millis(20);
    }
}

/// Starts a store with a configuration of a model with `layers` layers.
pub async fn start_configured_store(layers: u32) -> Store {
    let store = Store::start().await;
    store.put("op", "config", &config(1, layers));
    store
}

/// Settings of an entry in failure domain `a` that uses `store`.
pub fn settings(name: &str, store: &Store) -> InstanceSettings {
    InstanceSettings {
        entry: name.into(),
        domain: "a".into(),
        ip: Ipv4Addr::LOCALHOST.into(),
        listen_address: loopback_any_port(),
        readiness_address: loopback_any_port(),
        internal_ports: Some((0, 0)),
        metrics_address: None,
        prefix_affinity: PrefixAffinity::default(),
        store_address: store.address,
        link_bytes_per_s: 1e8,
        memory_bytes: 256_000_000,
        bounds: InstanceBounds {
            grace: Millis(8_000),
            retry_share: 0.2,
            retry_reserve: 100.0,
            retry_window: Millis(10_000),
        },
        warnings: Vec::new(),
    }
}

/// Waits until a run has started and makes another engine on its path stop
/// responding. Returns the ID of that engine.
pub async fn silence_engine_on_path(engines: &[Backend]) -> String {
    wait_until("a run has started", async || {
        engines.iter().any(|e| !e.run_paths.borrow().is_empty())
    })
    .await;
    let first = engines
        .iter()
        .find(|e| !e.run_paths.borrow().is_empty())
        .expect("an engine that started a run");
    let path = first.run_paths.borrow()[0].clone();
    let on_path = |e: &Backend| path.contains(&e.address.to_string());
    let has_spare = |e: &Backend| engines.iter().any(|o| !on_path(o) && o.has_layers_of(e));
    let mut others = engines.iter().filter(|e| e.id != first.id && on_path(e));
    let silenced = others.find(|e| has_spare(e)).expect("an engine on the path with a spare");
    silenced.unresponsive.set(true);
    first.waiting_on.set(Some(silenced.address));
    silenced.id.clone()
}

/// Starts an entry and waits until it is ready.
pub async fn start_entry(name: &str, store: &Store) -> Running {
    let running = start(settings(name, store)).expect("entry starts");
    wait_until("the entry is ready", async || {
        send_request(running.readiness, "GET", "/-/readiness", "").await.status == 200
    })
    .await;
    running
}

/// Starts engines and an entry, and waits until the engines host the model.
pub async fn start_placed_engines(store: &Store, count: usize) -> (Vec<Backend>, Running) {
    let engines = start_engines(store, count).await;
    let entry = start_entry("one", store).await;
    wait_until_placed(&engines).await;
    (engines, entry)
}

/// Starts engines without layers.
pub async fn start_engines(store: &Store, count: usize) -> Vec<Backend> {
    let mut engines = Vec::new();
    for n in 0..count {
        engines.push(Backend::start(&format!("engine-{n}"), "model", store).await);
    }
    engines
}

/// Waits until all engines host layers and the entry has been notified.
pub async fn wait_until_placed(engines: &[Backend]) {
    wait_until("all engines host layers", async || engines.iter().all(Backend::holds_layers)).await;
    // Time for the updated list of backend servers to reach the entry.
    sleep(Duration::from_millis(600)).await;
}

/// Configuration with three routes: streaming, idempotent and unsafe to repeat.
pub fn config(version: u64, layers: u32) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"h","prefix":"/{name}/","kind":"{kind}","timeout-ms":9000,"target-latency-ms":500,"priority":1,"service":"{service}","max-attempts":{attempts},"public":false,"resumable":true,"target-gap-ms":200}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{},{}],"services":[{{"name":"model","health-path":"/health","max-conns":100,"engine":{{"kv-token-bytes":590000,"models":[{{"load-s":0.1}}],"step_ms":0.85,"read_per_s":196000.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":800,"answer":160}},"layers":{layers},"layer-mb":1000.0,"activation-bytes":29500,"pipe-mbps":13000.0,"kinds":[{{"name":"card","megabytes":12000.0,"pace":1.0,"read-factor":1.0}}]}}}},{{"name":"plain","health-path":"/health","max-conns":100}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"w","api-keys":["key"]}}]}}"#,
        route("stream", "streaming", "model", 2),
        route("safe", "safe", "plain", 2),
        route("once", "unsafe", "plain", 1),
    )
}
