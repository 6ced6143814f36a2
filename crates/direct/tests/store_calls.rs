//! Entries and a store that answers questions for changes badly.

mod world;

use std::time::Duration;

use actix_rt::test;
use tokio::time::{sleep, timeout};
use world::{Feeds, Store, ask, config, entry};

/// Time for a configuration to take force that an entry can only learn of from
/// another: the bounds for that and for a store in trouble, together.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(9);

/// A request on a route that each version of [`config`] has.
async fn knows_route(entry: &clementine_direct::Running, path: &str) -> bool {
    ask(entry.callers, "POST", path, "x").await.status != 404
}

#[test]
async fn a_store_that_never_waits_is_not_asked_without_pause() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _entry = entry("one", &store).await;
    store.feeds.set(Feeds::AtOnce);
    store.put("op", "config", &config(2, 12));
    let before = store.calls.get();
    sleep(Duration::from_secs(3)).await;
    let made = store.calls.get() - before;
    assert!(made <= 50, "{made} calls in 3 s, more than 24 and 8 a second");
}

#[test]
async fn an_entry_whose_question_fell_silent_asks_again_when_another_knows_more() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let deaf_side = store.another_address().await;
    let told = entry("one", &store).await;
    let deaf = entry("two", &deaf_side).await;
    deaf_side.feeds.set(Feeds::Silent);
    let renamed = config(2, 12).replace("/safe/", "/renamed/");
    store.put("op", "config", &renamed);
    let in_force = async {
        while !knows_route(&told, "/renamed/x").await || !knows_route(&deaf, "/renamed/x").await {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(IN_FORCE_WITHIN, in_force).await.expect("both entries have the configuration");
}
