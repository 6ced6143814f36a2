//! Entries with a store that answers polls for changes immediately or not at all.

mod common;

use std::time::Duration;

use actix_rt::test;
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
