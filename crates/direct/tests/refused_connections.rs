//! Requests whose first backend servers refuse connections, while entries may not retry.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::test;
use clementine_direct::start;
use clementine_e2e::{ScriptedRequest, ScriptedServer, Step};
use clementine_platform::settings::InstanceSettings;
use common::{Store, send_request, settings, signed_head};
use futures::future::join_all;
use serde_json::json;
use tokio::time::sleep;

/// Servers of a pool that refuse connections. No more than the attempts that an entry makes
/// beyond the first one.
const REFUSING: usize = 3;
/// Pools of each kind of request. The first server chosen in each is most likely one that
/// refuses.
const POOLS: usize = 6;

/// Kind of a request, and whether it is a resumable stream.
const KINDS: [(&str, bool); 4] =
    [("streaming", true), ("streaming", false), ("safe", false), ("unsafe", false)];

fn pool(kind: usize, n: usize) -> String {
    format!("k{kind}-{n}")
}

fn config() -> String {
    let (mut routes, mut services) = (Vec::new(), Vec::new());
    for (index, (kind, resumable)) in KINDS.into_iter().enumerate() {
        for n in 0..POOLS {
            let pool = pool(index, n);
            routes.push(json!({"name": pool, "host": "h", "prefix": format!("/{pool}/"),
                "kind": kind, "timeout-ms": 9000, "target-latency-ms": 500, "priority": 1,
                "service": pool, "max-attempts": 2, "public": false, "resumable": resumable,
                "target-gap-ms": 200}));
            services.push(json!({"name": pool, "health-path": "/health", "max-conns": 100}));
        }
    }
    json!({"version": 1, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "w", "api-keys": ["key"]}]})
    .to_string()
}

/// Response of a server that serves.
fn complete_response(request: &ScriptedRequest) -> Vec<Step> {
    let event = "id: 1\ndata: 1\n\n";
    let fields = format!("content-length: {}\r\n", event.len());
    vec![Step::send(signed_head(request, 200, &fields)), Step::send(event)]
}

/// Starts the servers of a pool and lists them. The last one serves.
async fn start_servers(pool: &str, store: &Store) -> Vec<ScriptedServer> {
    let mut servers = Vec::new();
    for n in 0..=REFUSING {
        let server = ScriptedServer::start(complete_response).await;
        let row = json!({"service": pool, "address": server.address.to_string(), "zone": "a",
            "slots": 6, "state": "ready", "sequence": 1, "born": 1});
        store.put("servers", &format!("{pool}-{n}"), &row.to_string());
        servers.push(server);
    }
    servers
}

/// Sends a request to a pool. Returns what is wrong with the response, if anything.
async fn send_to_pool(entry: SocketAddr, pool: &str) -> Option<String> {
    let response = send_request(entry, "POST", &format!("/{pool}/x"), "x").await;
    (response.status != 200).then(|| format!("{pool}: {response:?}"))
}

/// Guards against a refused connection that costs a retry: requests got 503 although
/// another server was free, in the seconds in which an entry may not retry yet.
#[test]
async fn refused_connection_costs_no_retry() {
    let store = Store::start().await;
    store.put("op", "config", &config());
    let pools: Vec<String> =
        (0..KINDS.len()).flat_map(|kind| (0..POOLS).map(move |n| pool(kind, n))).collect();
    let servers = join_all(pools.iter().map(|pool| start_servers(pool, &store))).await;
    let mut no_retries = settings("one", &store);
    no_retries.bounds.retry_share = 0.0;
    no_retries.bounds.retry_reserve = 0.0;
    let entry = start(InstanceSettings { internal_ports: None, ..no_retries }).expect("it starts");
    sleep(Duration::from_millis(600)).await;
    for server in servers.iter().flat_map(|servers| &servers[..REFUSING]) {
        server.stop_accepting();
    }
    let failures = join_all(pools.iter().map(|pool| send_to_pool(entry.callers, pool))).await;
    let failures: Vec<String> = failures.into_iter().flatten().collect();
    assert!(failures.is_empty(), "{} requests:\n{}", failures.len(), failures.join("\n"));
}
