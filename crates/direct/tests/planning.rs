//! Hand-over of planning between entries; only the holder of the planner lease
//! plans.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use actix_rt::test;
use common::{Backend, Store, config, send_request, start_entry, wait_until};
use serde_json::Value;
use tokio::task::spawn_local;

/// Entry that holds the planner lease, according to the row in the store.
fn planner_lease_holder(store: &Store) -> Option<String> {
    let row: Value =
        serde_json::from_slice(&store.value("leases", "planner")?).expect("valid lease row");
    Some(row["holder"]["entry"].as_str()?.to_owned())
}

#[test]
async fn entry_shutdown_hands_over_the_planner_lease_before_its_requests_complete() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let backend = Backend::start("plain-1", "plain", &store).await;
    let one = start_entry("one", &store).await;
    wait_until("the first entry holds the planner lease", async || {
        planner_lease_holder(&store).as_deref() == Some("one")
    })
    .await;
    let _two = start_entry("two", &store).await;
    backend.unresponsive.set(true);
    let answered = Rc::new(Cell::new(false));
    let (callers, set_answered) = (one.callers, Rc::clone(&answered));
    spawn_local(async move {
        send_request(callers, "POST", "/once/x", "order").await;
        set_answered.set(true);
    });
    wait_until("the request has arrived", async || backend.received_while_unresponsive.get()).await;
    one.stop();
    wait_until("the second entry holds the planner lease", async || {
        planner_lease_holder(&store).as_deref() == Some("two")
    })
    .await;
    assert!(!answered.get(), "the first entry still has a request in progress");
}
