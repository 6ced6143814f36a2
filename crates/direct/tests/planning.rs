//! Entries that plan, one at a time.

mod world;

use std::cell::Cell;
use std::rc::Rc;

use actix_rt::test;
use serde_json::Value;
use tokio::task::spawn_local;
use world::{Backend, Store, ask, config, entry, until};

/// Entry that holds the planner's lease by the store's row.
fn holder(store: &Store) -> Option<String> {
    let row: Value = serde_json::from_slice(&store.value("leases", "planner")?).expect("a row");
    Some(row["holder"]["entry"].as_str()?.to_owned())
}

#[test]
async fn an_entry_that_stops_hands_planning_over_before_its_requests_end() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let silent = Backend::start("plain-1", "plain", &store).await;
    let one = entry("one", &store).await;
    until("the first entry plans", async || holder(&store).as_deref() == Some("one")).await;
    let _two = entry("two", &store).await;
    silent.dark.set(true);
    let answered = Rc::new(Cell::new(false));
    let (callers, note) = (one.callers, Rc::clone(&answered));
    spawn_local(async move {
        ask(callers, "POST", "/once/x", "order").await;
        note.set(true);
    });
    until("the request has arrived", async || silent.asked.get()).await;
    one.stop();
    until("the second entry plans", async || holder(&store).as_deref() == Some("two")).await;
    assert!(!answered.get(), "the first entry still has a request to end");
}
