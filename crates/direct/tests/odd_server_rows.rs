//! Rows of another writer in the list of backend servers.

mod common;

use actix_rt::test;
use common::{Backend, Store, send_request, start_configured_store, start_placed_engines};
use common::{Behaviour, wait_until};
use serde_json::{Value, json};

const LAYERS: u32 = 12;
/// Nesting that exhausts the stack of a decoder without a limit.
const NESTING: usize = 100_000;

/// A row that is sound but for one field.
fn row_with(pool: &str, field: &str, value: Value) -> String {
    let mut row = json!({"service": pool, "address": "127.0.0.1:9", "zone": "a", "slots": 6,
        "state": "ready", "kind": "card", "layers": {"from": 0, "to": LAYERS, "version": 1},
        "sequence": 0, "born": 1});
    row[field] = value;
    row.to_string()
}

/// Rows that name no server to use.
fn odd_rows() -> Vec<String> {
    let mut rows = vec![
        "[".repeat(NESTING),
        format!(r#"{{"service":{}"#, r#"{"a":"#.repeat(NESTING)),
        format!(r#"{{"x":{}1{},"service":"plain"}}"#, "[".repeat(NESTING), "]".repeat(NESTING)),
        "1e999".into(),
        String::new(),
    ];
    let fields = [
        ("slots", json!(1e300)),
        ("slots", json!(u64::MAX)),
        ("slots", json!(u32::MAX)),
        ("slots", json!(1 << 16)),
        ("sequence", json!(u64::MAX)),
        ("born", json!(u64::MAX)),
        ("born", json!(1e300)),
        ("address", json!("127.0.0.1:99999")),
        ("address", json!("127.0.0.1:0")),
        ("address", json!("0.0.0.0:9")),
        ("layers", json!({"from": 0, "to": u32::MAX, "version": 1})),
        ("layers", json!({"from": u32::MAX - 1, "to": u32::MAX, "version": 1})),
        ("layers", json!([{"from": 0, "to": u64::MAX}])),
        ("kind", json!("another")),
        ("zone", json!("")),
    ];
    for pool in ["plain", "model"] {
        rows.extend(fields.iter().map(|(field, value)| row_with(pool, field, value.clone())));
    }
    rows
}

async fn is_served(entry: &clementine_direct::Running, path: &str) -> bool {
    send_request(entry.callers, "POST", path, "prompt").await.status == 200
}

/// Writes a server's row and removes another one, which the entry has to follow.
async fn follows_the_list(store: &Store, entry: &clementine_direct::Running, n: usize) {
    let server = Backend::start(&format!("new-{n}"), "plain", store).await;
    server.behaviour.set(Behaviour::Serve);
    wait_until("the new server gets requests", async || {
        is_served(entry, "/safe/x").await && !server.run_request_ids.borrow().is_empty()
    })
    .await;
    store.remove("servers", &server.id);
}

/// Guards against entries that end, or stop following the list, at a row that is deeply
/// nested, or has a number that is too large or a port out of range.
#[test]
async fn odd_rows_do_not_stop_an_entry_from_following_the_list() {
    let store = start_configured_store(LAYERS).await;
    let (_engines, entry) = start_placed_engines(&store, 5).await;
    for (n, row) in odd_rows().iter().enumerate() {
        store.put("servers", &format!("odd-{n}"), row);
        let shown: String = row.chars().take(200).collect();
        follows_the_list(&store, &entry, n).await;
        wait_until(&format!("streams are served beside {shown}"), async || {
            is_served(&entry, "/stream/x").await
        })
        .await;
        store.remove("servers", &format!("odd-{n}"));
    }
}
