//! Entries with a store that answers polls for changes immediately or not at all,
//! and tables that change while they are read.

mod common;

use std::time::Duration;

use actix_rt::test;
use clementine_http1::ServerConn;
use clementine_platform::store::StoreClient;
use common::{PollMode, Store, config, send_request, start_entry};
use tokio::time::{sleep, timeout};

/// Time limit for a new configuration to take effect at an entry that can only
/// learn of it from another entry: the limits for the exchange between entries and
/// for an unavailable store, added up.
const CONFIG_SPREAD_TIMEOUT: Duration = Duration::from_secs(9);

/// Whether an entry's configuration has a route for `path`.
async fn has_route(entry: &clementine_direct::Running, path: &str) -> bool {
    send_request(entry.callers, "POST", path, "x").await.status != 404
}

#[test]
async fn call_rate_is_limited_if_the_store_does_not_long_poll() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _entry = start_entry("one", &store).await;
    store.poll_mode.set(PollMode::Immediate);
    store.put("op", "config", &config(2, 12));
    let before = store.calls.get();
    sleep(Duration::from_secs(3)).await;
    let calls = store.calls.get() - before;
    assert!(calls <= 50, "{calls} calls in 3 s, more than a burst of 24 and 8 per second");
}

#[test]
async fn unanswered_poll_is_replaced_if_another_entry_has_a_newer_version() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let second_address = store.serve_on_another_address().await;
    let notified = start_entry("one", &store).await;
    let not_notified = start_entry("two", &second_address).await;
    second_address.poll_mode.set(PollMode::NoResponse);
    let renamed = config(2, 12).replace("/safe/", "/renamed/");
    store.put("op", "config", &renamed);
    let spread = async {
        while !has_route(&notified, "/renamed/x").await
            || !has_route(&not_notified, "/renamed/x").await
        {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(CONFIG_SPREAD_TIMEOUT, spread)
        .await
        .expect("both entries apply the configuration in time");
}

#[test]
async fn row_removed_between_two_pages_of_a_table_is_among_the_changes_after_it() {
    let store = Store::start().await;
    for n in 0..600 {
        store.put("servers", &format!("server-{n:03}"), "{}");
    }
    store.page_rows.set(500);
    store.remove_after_page.replace(Some(("servers".into(), "server-007".into())));
    let client = StoreClient::new(store.address, ServerConn::codec_config());
    let snapshot = client.read("servers", "").await.expect("table is read");
    assert_eq!(snapshot.rows.len(), 600, "the row was still there when its page was read");
    let changes = client.poll_changes("servers", snapshot.version, Duration::ZERO).await;
    let changes = changes.expect("changes are read").rows;
    let removed: Vec<&str> =
        changes.iter().filter(|row| row.removed).map(|row| row.key.key.as_str()).collect();
    assert_eq!(removed, ["server-007"]);
}

/// Guards against a table that cannot be read because the key of a row, which another
/// writer chose, has characters with a meaning in queries.
#[test]
async fn table_is_read_whole_whatever_the_keys_of_its_rows() {
    let store = Store::start().await;
    let keys = ["a&limit=0", "b c", "c%41", "d#", "e=?", "f/\u{e9}\"\n", "g"];
    for key in keys {
        store.put("servers", key, "{}");
    }
    store.page_rows.set(1);
    let client = StoreClient::new(store.address, ServerConn::codec_config());
    let read = timeout(Duration::from_secs(5), client.read("servers", "")).await;
    let snapshot = read.expect("reading ends").expect("table is read");
    let read: Vec<&str> = snapshot.rows.iter().map(|row| row.key.key.as_str()).collect();
    assert_eq!(read, keys);
}

/// The first two entries of a failure domain follow the store for the third one.
#[test]
async fn third_entry_of_a_domain_learns_of_changes_without_calls_to_the_store() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _first = start_entry("a-one", &store).await;
    let _second = start_entry("b-two", &store).await;
    let third_address = store.serve_on_another_address().await;
    let third = start_entry("c-three", &third_address).await;
    // Polls that began before the entry heard of the others end by themselves.
    sleep(Duration::from_secs(6)).await;
    let before = third_address.calls.get();
    for version in 2..6 {
        let renamed = config(version, 12).replace("/safe/", &format!("/v{version}/"));
        store.put("op", "config", &renamed);
        let path = format!("/v{version}/x");
        let applied = async {
            while !has_route(&third, &path).await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(CONFIG_SPREAD_TIMEOUT, applied).await.expect("the configuration takes effect");
    }
    assert_eq!(third_address.calls.get() - before, 0, "calls of the third entry");
}

#[test]
async fn entry_follows_the_store_itself_when_its_followers_stop() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let first = start_entry("a-one", &store).await;
    let second = start_entry("b-two", &store).await;
    let third = start_entry("c-three", &store).await;
    sleep(Duration::from_secs(2)).await;
    first.stop();
    second.stop();
    store.put("op", "config", &config(2, 12).replace("/safe/", "/renamed/"));
    let applied = async {
        while !has_route(&third, "/renamed/x").await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(CONFIG_SPREAD_TIMEOUT, applied).await.expect("the configuration takes effect");
}
