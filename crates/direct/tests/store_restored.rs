//! Entries whose store is restored from an older copy.

mod common;

use std::time::Duration;

use actix_rt::test;
use common::{Backend, Store, config, send_request, start_entry, wait_until};
use serde_json::Value;
use tokio::time::sleep;

/// Longer than the time to live of the planner's lease, the delay of the entries'
/// registration, and the time in which a missing row is kept.
const SETTLE_TIME: Duration = Duration::from_secs(6);

fn planner(store: &Store) -> Option<Value> {
    serde_json::from_slice(&store.value("leases", "planner")?).ok()
}

#[test]
async fn rows_of_entries_are_written_again_and_the_configuration_does_not_regress() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _backend = Backend::start("plain-1", "plain", &store).await;
    let before = store.copy();
    let renamed = config(2, 12).replace("/safe/", "/renamed/");
    store.put("op", "config", &renamed);
    let one = start_entry("one", &store).await;
    let two = start_entry("two", &store).await;
    wait_until("an entry holds the planner lease", async || planner(&store).is_some()).await;
    store.restore(before);
    assert_eq!((store.keys("entries").len(), planner(&store)), (0, None));
    wait_until("both entries are registered again", async || store.keys("entries").len() == 2)
        .await;
    wait_until("an entry holds the planner lease again", async || planner(&store).is_some()).await;
    for entry in [&one, &two] {
        let renamed = send_request(entry.callers, "POST", "/renamed/x", "x").await;
        let dropped = send_request(entry.callers, "POST", "/safe/x", "x").await;
        assert_eq!((renamed.status, dropped.status), (200, 404));
    }
    store.put("op", "config", &config(3, 12));
    wait_until("the next configuration takes effect", async || {
        send_request(one.callers, "POST", "/safe/x", "x").await.status == 200
            && send_request(two.callers, "POST", "/safe/x", "x").await.status == 200
    })
    .await;
}

#[test]
async fn requests_are_served_while_the_rows_of_servers_are_missing() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let empty = store.copy();
    let backend = Backend::start("plain-1", "plain", &store).await;
    let row = store.value("servers", "plain-1").expect("listed");
    let entry = start_entry("one", &store).await;
    let served = async || send_request(entry.callers, "POST", "/safe/x", "x").await.status == 200;
    wait_until("a request is served", served).await;
    store.restore(empty);
    // The server writes its row again after a while.
    for _ in 0..10 {
        assert!(served().await);
        sleep(Duration::from_millis(100)).await;
    }
    store.put("servers", "plain-1", std::str::from_utf8(&row).expect("JSON"));
    sleep(SETTLE_TIME).await;
    assert!(served().await);
    drop(backend);
}

#[test]
async fn a_server_that_is_gone_is_not_used_when_its_old_row_comes_back() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let gone = Backend::start("plain-gone", "plain", &store).await;
    let _alive = Backend::start("plain-1", "plain", &store).await;
    let copy = store.copy();
    let entry = start_entry("one", &store).await;
    store.remove("servers", "plain-gone");
    gone.unresponsive.set(true);
    sleep(Duration::from_secs(1)).await;
    store.restore(copy);
    for n in 0..30 {
        let response = send_request(entry.callers, "POST", "/safe/x", "x").await;
        assert_eq!(response.status, 200, "request {n}");
        assert!(!gone.received_while_unresponsive.get(), "request {n} reached the old server");
        sleep(Duration::from_millis(100)).await;
    }
}

#[test]
async fn an_entry_that_starts_on_an_older_copy_takes_the_newer_configuration_of_a_neighbor() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _backend = Backend::start("plain-1", "plain", &store).await;
    let copy = store.copy();
    store.put("op", "config", &config(2, 12).replace("/safe/", "/renamed/"));
    let _one = start_entry("one", &store).await;
    wait_until("the entry is registered", async || store.keys("entries").len() == 1).await;
    store.restore(copy);
    wait_until("the entry is registered again", async || store.keys("entries").len() == 1).await;
    let two = start_entry("two", &store).await;
    wait_until("the newer configuration takes effect", async || {
        send_request(two.callers, "POST", "/renamed/x", "x").await.status == 200
    })
    .await;
    let dropped = send_request(two.callers, "POST", "/safe/x", "x").await;
    assert_eq!(dropped.status, 404, "the older configuration does not come back");
}

#[test]
async fn two_restores_during_a_configuration_change_and_the_loss_of_the_planner() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _backend = Backend::start("plain-1", "plain", &store).await;
    let copy = store.copy();
    let one = start_entry("one", &store).await;
    wait_until("an entry holds the planner lease", async || planner(&store).is_some()).await;
    let two = start_entry("two", &store).await;
    let renamed = config(2, 12).replace("/safe/", "/renamed/");
    store.put("op", "config", &renamed);
    store.restore(copy.clone());
    one.stop();
    sleep(Duration::from_millis(300)).await;
    store.restore(copy);
    // The operator writes the configuration again.
    store.put("op", "config", &renamed);
    wait_until("the configuration takes effect", async || {
        send_request(two.callers, "POST", "/renamed/x", "x").await.status == 200
    })
    .await;
    wait_until("the other entry holds the planner lease", async || {
        planner(&store).is_some_and(|row| row["holder"]["entry"] == "two")
    })
    .await;
}
