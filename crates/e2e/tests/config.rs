//! Configuration: in force everywhere, never reverting, also without the
//! platform's store.

use clementine_e2e::{Hub, HubPlan, RecordFile, eventually};
use serde_json::json;

const BATCH: &str = "{kind: priority, name: batch, level: 8}";

#[actix_rt::test]
async fn a_change_is_in_force_everywhere() {
    let hub = Hub::start(HubPlan::new(3).engines(2, "0ms")).await;
    hub.apply(BATCH).await;
    let (succeeded, output) = hub.ctl(&["watch", "--revision", "2"], "").await;
    assert!(succeeded, "{output}");
    assert!(output.contains("in force at 5 of 5 instances"), "{output}");
}

#[actix_rt::test]
async fn the_news_spreads_and_new_entries_start_without_the_store() {
    let record = RecordFile::new("no-store");
    let plan = HubPlan::new(2).engines(1, "0ms").services(1, record.path(), "0ms");
    let mut hub = Hub::start(plan.entry_flag("platform-call-time", "200ms")).await;
    hub.apply(BATCH).await;
    let behind = || async { hub.revision(0).await == "2" };
    eventually("the publisher has it in force", behind).await;
    hub.order_faults(&json!({ "table": "hang", "objects": "hang" })).await;
    eventually("the other entry learns it", || async { hub.revision(1).await == "2" }).await;

    hub.add_entry();
    eventually("the new entry is ready", || async { hub.is_ready(2).await }).await;
    assert_eq!(hub.revision(2).await, "2");
    let answer = hub.caller(2).chat("key-advisor", "Which?", 2).await.expect("an answer");
    assert_eq!(answer.outcome, "ran");
    assert_eq!(hub.caller(2).lookup().await.expect("an answer").outcome, "ran");

    let (succeeded, output) =
        hub.ctl(&["apply", "-f", "-"], "{kind: priority, name: x, level: 1}").await;
    assert!(!succeeded);
    assert!(output.contains("table service"), "{output}");
    assert_eq!(hub.revision(0).await, "2");
}

#[actix_rt::test]
async fn a_frozen_entry_does_not_go_back() {
    let hub = Hub::start(HubPlan::new(2).engines(1, "0ms")).await;
    hub.entries[1].process.freeze();
    for level in 1..4 {
        hub.apply(&format!("{{kind: priority, name: batch, level: {level}}}")).await;
    }
    hub.entries[1].process.wake();
    eventually("the entry catches up", || async { hub.revision(1).await == "4" }).await;
    assert_eq!(hub.revision(0).await, "4");
}

#[actix_rt::test]
async fn a_lost_answer_of_the_store_is_settled() {
    let hub = Hub::start(HubPlan::new(1).engines(1, "0ms")).await;
    hub.order_faults(&json!({ "table": "lose-answers" })).await;
    let (succeeded, output) = hub.ctl(&["apply", "-f", "-"], BATCH).await;
    hub.order_faults(&json!({ "table": "up" })).await;
    let (_, history) = hub.ctl(&["history"], "").await;
    // Reads fail too while answers are lost: the change may not be found.
    assert!(
        succeeded || output.contains("not known") || output.contains("not accepted"),
        "{output}"
    );
    assert!(!succeeded || history.contains("batch"), "{history}");
}

#[actix_rt::test]
async fn faults_are_told_together_with_file_object_and_field() {
    let hub = Hub::start(HubPlan::new(1).engines(1, "0ms")).await;
    let objects = "\
kind: route
name: stock
path: stock
pool: orderz
repeat: safe
timeout: 5s
---
kind: model
name: key-advisor
layers: 32
pools: [halves-first]
---
kind: pool
name: new
serves: engine
concurrency: 0
";
    let (succeeded, output) = hub.ctl(&["apply", "-f", "-"], objects).await;
    assert!(!succeeded);
    let expected = [
        "4 faults found",
        "-: route `stock`: pool: there is no pool `orderz`; did you mean `orders`?",
        "-: route `stock`: path: must begin with `/`",
        "-: pool `new`: concurrency: must be at least 1",
        "-: model `key-advisor`: pools: no chain of layer ranges goes on from layer 16 to layer 31",
    ];
    for line in expected {
        assert!(output.contains(line), "`{line}` is missing in:\n{output}");
    }
    let (succeeded, output) = hub.ctl(&["delete", "pool", "orders"], "").await;
    assert!(!succeeded);
    assert!(output.contains("route `stock`: pool: there is no pool `orders`"), "{output}");
}

#[actix_rt::test]
async fn an_earlier_revision_is_restored_as_a_new_one() {
    let hub = Hub::start(HubPlan::new(1).engines(1, "0ms")).await;
    let (_, before) = hub.ctl(&["get", "priorities"], "").await;
    hub.apply(BATCH).await;
    let (succeeded, output) = hub.ctl(&["apply", "--revision", "1"], "").await;
    assert!(succeeded && output.contains("accepted as revision 3"), "{output}");
    let (_, after) = hub.ctl(&["get", "priorities"], "").await;
    assert_eq!(before, after);
    let (_, history) = hub.ctl(&["history"], "").await;
    assert_eq!(history.lines().count(), 3);
}

#[actix_rt::test]
async fn an_empty_instance_list_is_not_believed() {
    let hub = Hub::start(HubPlan::new(1).engines(1, "0ms")).await;
    hub.put_list(&json!({ "items": [] })).await;
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let answer = hub.caller(0).chat("key-advisor", "Which?", 2).await.expect("an answer");
    assert_eq!(answer.outcome, "ran");
}
