//! Addresses of servers that are gone, at which servers of other services listen now.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::test;
use common::{
    Backend, Store, loopback_any_port, send_request, start_configured_store, start_engines,
    start_entry, start_placed_engines, wait_until,
};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time in which the planner orders, and orders again what was lost.
const ORDER_TIME: Duration = Duration::from_millis(2_500);

/// A loopback address at which nothing listens.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind(loopback_any_port()).await.expect("bind loopback address");
    listener.local_addr().expect("local address")
}

async fn wait_until_refused(address: SocketAddr) {
    wait_until("connections are refused", async || TcpStream::connect(address).await.is_err())
        .await;
}

/// Lists an engine without layers.
fn list_engine(store: &Store, id: &str, address: SocketAddr, born: u64) {
    let row = json!({"service": "model", "address": address.to_string(), "zone": "a",
        "slots": 6, "state": "ready", "kind": "card", "sequence": 0, "born": born});
    store.put("servers", id, &row.to_string());
}

/// Guards against orders that name no server: one for a server that was lost before it had
/// its layers reached the smaller server of another service at its address (review/5).
#[test]
async fn order_for_a_lost_server_is_not_taken_by_the_one_that_has_its_address() {
    let store = start_configured_store(12).await;
    let address = unused_address().await;
    let engines = start_engines(&store, 1).await;
    list_engine(&store, "engine-9", address, 1);
    let _entry = start_entry("one", &store).await;
    wait_until("the engine that is left hosts layers", async || engines[0].holds_layers()).await;
    // Its row comes later than its listener.
    let other = Backend::start_unlisted("plain-9", "plain", &store, address).await;
    sleep(ORDER_TIME).await;
    assert!(other.placements.borrow().is_empty(), "{:?}", other.placements.borrow());
    assert!(!other.misdirected.borrow().is_empty(), "nothing was sent to the address");
    assert!(other.unnamed.borrow().is_empty(), "{:?}", other.unnamed.borrow());
}

/// Guards against calls of any kind that do not say for which server they are, and against
/// taking the state of the server that has an address now for that of the one that had it.
#[test]
async fn server_at_the_address_of_a_lost_engine_gets_no_call_that_names_no_server() {
    let store = start_configured_store(12).await;
    let (engines, entry) = start_placed_engines(&store, 4).await;
    let lost = &engines[0];
    lost.crash();
    // Its health check says that it is draining: the engine is not.
    wait_until_refused(lost.address).await;
    let other = Backend::start_unlisted("plain-9", "plain", &store, lost.address).await;
    other.draining.set(true);
    for _ in 0..6 {
        let response = send_request(entry.callers, "POST", "/stream/x", "x").await;
        assert!(response.complete, "{response:?}");
    }
    sleep(ORDER_TIME).await;
    assert!(other.unnamed.borrow().is_empty(), "{:?}", other.unnamed.borrow());
    assert!(other.placements.borrow().is_empty() && other.run_request_ids.borrow().is_empty());
    let calls = other.misdirected.borrow();
    assert!((1..40).contains(&calls.len()), "for a server that is gone: {calls:?}");
}

/// Guards against requests to the address of a server that is gone, whose row is still
/// listed, when a newer row has its address.
#[test]
async fn address_belongs_to_the_server_that_was_listed_there_last() {
    let store = start_configured_store(0).await;
    let old = Backend::start("plain-0", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    // Makes it the fastest server.
    for _ in 0..20 {
        send_request(entry.callers, "POST", "/safe/x", "x").await;
    }
    old.crash();
    sleep(Duration::from_millis(200)).await;
    let row = json!({"service": "plain", "address": old.address.to_string(), "zone": "a",
        "slots": 6, "state": "ready", "born": 2});
    let new = Backend::start_unlisted("plain-9", "plain", &store, old.address).await;
    store.put("servers", "plain-9", &row.to_string());
    sleep(Duration::from_millis(300)).await;
    for _ in 0..20 {
        sleep(Duration::from_millis(20)).await;
        let response = send_request(entry.callers, "POST", "/safe/x", "x").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(new.run_request_ids.borrow().len(), 20);
    // Health checks ask whether the old one is there after all.
    let refused = new.misdirected.borrow();
    assert!(refused.iter().all(|path| path == "/health"), "{refused:?}");
}

/// Guards against test servers whose address goes to another process while they are down:
/// callers of the soak (seed 9323) got its responses.
#[test]
async fn server_that_is_down_keeps_its_address() {
    let store = start_configured_store(12).await;
    let server = Backend::start("plain-1", "plain", &store).await;
    assert!(TcpStream::connect(server.address).await.is_ok());
    server.crash();
    wait_until_refused(server.address).await;
    assert!(TcpListener::bind(server.address).await.is_err(), "another process took the address");
    server.restart().await;
    assert!(TcpStream::connect(server.address).await.is_ok());
}
