//! Entries and a store that answers questions for changes badly.

mod common;

use std::time::Duration;

use actix_rt::test;
use common::{PollMode, Store, config, send_request, start_entry};
use tokio::time::{sleep, timeout};

/// Time for a configuration to take force that an entry can only learn of from
/// another: the bounds for that and for a store in trouble, together.
const CONFIG_SPREAD_TIMEOUT: Duration = Duration::from_secs(9);

/// A request on a route that each version of [`config`] has.
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
    assert!(calls <= 50, "{calls} calls in 3 s, more than 24 and 8 a second");
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
    timeout(CONFIG_SPREAD_TIMEOUT, spread).await.expect("both entries have the configuration");
}
