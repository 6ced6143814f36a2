//! Operations that may run at most once, under failure. The service's record
//! is the oracle.

use std::rc::Rc;

use clementine_e2e::{Answer, Caller, Hub, HubPlan, RecordFile, eventually};
use futures::future::join_all;
use serde_json::json;

const BODY: &str = r#"{"blank":7}"#;

async fn start(record: &RecordFile, services: usize, answer_time: &str) -> Hub {
    Hub::start(HubPlan::new(2).services(services, record.path(), answer_time)).await
}

/// Sends an order in the background.
fn order_in_background(
    caller: &Caller,
    key: &'static str,
) -> actix_rt::task::JoinHandle<Option<Answer>> {
    let caller = caller.clone();
    actix_rt::spawn(async move { caller.order(key, BODY).await })
}

async fn eventually_ran(record: &RecordFile, key: &str) {
    eventually("the operation runs", || async { record.runs_of(key) == 1 }).await;
}

#[actix_rt::test]
async fn simultaneous_repeats_run_once_and_agree() {
    let record = RecordFile::new("simultaneous");
    let hub = start(&record, 3, "20ms").await;
    for round in 0..10 {
        let key = format!("k{round}");
        let callers: Vec<_> = (0..6).map(|n| hub.caller(n % 2)).collect();
        let answers = join_all(callers.iter().map(|caller| caller.order(&key, BODY))).await;
        let first = answers[0].clone().expect("an answer");
        assert_eq!((first.status, first.outcome.as_str()), (200, "ran"));
        for answer in answers {
            assert_eq!(answer.expect("an answer").body, first.body);
        }
        assert_eq!(record.runs_of(&key), 1);
    }
}

#[actix_rt::test]
async fn a_key_with_another_body_is_refused() {
    let record = RecordFile::new("other-body");
    let hub = start(&record, 1, "0ms").await;
    let first = hub.caller(0).order("k", BODY).await.expect("an answer");
    assert_eq!(first.outcome, "ran");
    let other = hub.caller(1).order("k", r#"{"blank":8}"#).await.expect("an answer");
    assert_eq!((other.status, other.error_code().as_str()), (422, "idempotency_key_reused"));
    assert_eq!(record.runs_of("k"), 1);
}

#[actix_rt::test]
async fn a_killed_entry_leaves_the_answer_to_be_attached_to() {
    let record = RecordFile::new("entry-killed");
    let mut hub = start(&record, 2, "500ms").await;
    let lost = order_in_background(&hub.caller(0), "k");
    eventually_ran(&record, "k").await;
    hub.entries[0].process.kill();
    let repeated = hub.caller(1).order("k", BODY).await.expect("an answer");
    assert_eq!((repeated.status, repeated.outcome.as_str()), (200, "ran"));
    assert!(lost.await.expect("the task ends").is_none());
    assert_eq!(record.runs_of("k"), 1);
}

#[actix_rt::test]
async fn a_killed_and_replaced_agent_means_unknown_and_no_second_run() {
    let record = RecordFile::new("agent-killed");
    let mut hub = start(&record, 1, "1s").await;
    let first = order_in_background(&hub.caller(0), "k");
    eventually_ran(&record, "k").await;
    hub.backends[0].agent.kill();
    drop(hub.backends[0].replace_agent());
    hub.wait_until_serving().await;
    let first = first.await.expect("the task ends").expect("an answer");
    assert_eq!(
        (first.outcome.as_str(), first.error_code().as_str()),
        ("unknown", "agent_replaced")
    );
    for entry in 0..2 {
        let repeated = hub.caller(entry).order("k", BODY).await.expect("an answer");
        assert_eq!(repeated.outcome, "unknown");
    }
    assert_eq!(record.runs_of("k"), 1);
    let other = hub.caller(0).order("k2", BODY).await.expect("an answer");
    assert_eq!(other.outcome, "ran");
}

#[actix_rt::test]
async fn a_frozen_agent_that_is_replaced_and_woken_runs_nothing_twice() {
    let record = RecordFile::new("agent-frozen");
    let mut hub = start(&record, 1, "0ms").await;
    hub.backends[0].agent.freeze();
    let first = order_in_background(&hub.caller(0), "k");
    let repeated = order_in_background(&hub.caller(1), "k");
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let old = hub.backends[0].replace_agent();
    let first = first.await.expect("the task ends").expect("an answer");
    let repeated = repeated.await.expect("the task ends").expect("an answer");
    old.wake();
    hub.wait_until_serving().await;
    let later = hub.caller(1).order("k", BODY).await.expect("an answer");
    let outcomes = [&first.outcome, &repeated.outcome, &later.outcome];
    let runs = record.runs_of("k");
    assert!(runs <= 1, "{runs} runs, {outcomes:?}");
    // Whoever was told that it ran or not was told the truth.
    assert!(runs == 1 || !outcomes.iter().any(|outcome| *outcome == "ran"), "{outcomes:?}");
    assert!(outcomes.iter().all(|outcome| *outcome != "not-run"), "{outcomes:?}");
}

#[actix_rt::test]
async fn a_frozen_agent_that_wakes_in_time_answers() {
    let record = RecordFile::new("agent-woken");
    let hub = start(&record, 1, "0ms").await;
    hub.backends[0].agent.freeze();
    let first = order_in_background(&hub.caller(0), "k");
    let repeated = order_in_background(&hub.caller(1), "k");
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    hub.backends[0].agent.wake();
    for answer in [first, repeated] {
        let answer = answer.await.expect("the task ends").expect("an answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
    }
    assert_eq!(record.runs_of("k"), 1);
}

#[actix_rt::test]
async fn a_service_that_breaks_off_means_unknown() {
    for (trigger, runs) in [("crash-before", 0), ("crash-after", 1)] {
        let record = RecordFile::new(trigger);
        let mut hub = start(&record, 1, "0ms").await;
        let body = format!("{{\"note\":\"{trigger}\"}}");
        let first = hub.caller(0).order("k", &body).await.expect("an answer");
        assert_eq!(
            (first.outcome.as_str(), first.error_code().as_str()),
            ("unknown", "backend_lost")
        );
        hub.backends[0].restart_server();
        let repeated = hub.caller(1).order("k", &body).await.expect("an answer");
        assert_eq!(repeated.outcome, "unknown");
        assert_eq!(record.runs_of("k"), runs);
    }
}

#[actix_rt::test]
async fn a_service_that_is_down_is_told_as_not_run() {
    let record = RecordFile::new("service-down");
    let mut hub = start(&record, 1, "0ms").await;
    hub.backends[0].server.kill();
    let refused = hub.caller(0).order("k", BODY).await.expect("an answer");
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.retry_after.is_some());
    hub.backends[0].restart_server();
    hub.wait_until_serving().await;
    let repeated = hub.caller(1).order("k", BODY).await.expect("an answer");
    assert_eq!(repeated.outcome, "ran");
    assert_eq!(record.runs_of("k"), 1);
}

#[actix_rt::test]
async fn lost_answers_of_the_table_service_are_settled() {
    let record = RecordFile::new("table-loses");
    let hub = start(&record, 2, "0ms").await;
    hub.order_faults(&json!({ "table": "lose-answers" })).await;
    let first = hub.caller(0).order("k", BODY).await.expect("an answer");
    hub.order_faults(&json!({ "table": "up" })).await;
    let repeated = hub.caller(1).order("k", BODY).await.expect("an answer");
    assert_eq!(repeated.outcome, "ran");
    assert_ne!(first.outcome, "not-run");
    assert_eq!(record.runs_of("k"), 1);
}

#[actix_rt::test]
async fn without_the_table_service_nothing_runs_and_lookups_do() {
    for mode in ["unavailable", "hang"] {
        let record = RecordFile::new(mode);
        let plan = HubPlan::new(2).services(1, record.path(), "0ms");
        let hub = Rc::new(Hub::start(plan.entry_flag("platform-call-time", "200ms")).await);
        let before = hub.caller(0).order("earlier", BODY).await.expect("an answer");
        assert_eq!(before.outcome, "ran");
        hub.order_faults(&json!({ "table": mode })).await;
        let caller = hub.caller(1);
        let repeated = caller.order("earlier", BODY).await.expect("an answer");
        assert_eq!(repeated.error_code(), "claim_unreadable");
        assert_eq!(repeated.outcome, "unknown");
        assert!(repeated.retry_after.is_some());
        let headers = [("idempotency-key", "new"), ("clementine-first-attempt", "true")];
        let fresh = caller.send("POST", "/orders/cut", &headers, BODY).await.expect("an answer");
        assert_eq!((fresh.status, fresh.outcome.as_str()), (503, "not-run"));
        assert_eq!(caller.lookup().await.expect("an answer").outcome, "ran");
        assert_eq!((record.runs_of("earlier"), record.runs_of("new")), (1, 0));

        hub.order_faults(&json!({ "table": "up" })).await;
        let again = || async {
            let answer = caller.order("new", BODY).await;
            answer.is_some_and(|answer| answer.outcome == "ran")
        };
        eventually("orders run again", again).await;
        assert_eq!(record.runs_of("new"), 1);
    }
}

#[actix_rt::test]
async fn requests_go_on_when_the_gates_forget() {
    let record = RecordFile::new("epochs");
    let plan = HubPlan::new(2).services(2, record.path(), "0ms").agent_flag("gate-records", "2");
    let hub = Hub::start(plan).await;
    for number in 0..30 {
        let answer = hub.caller(number % 2).lookup().await.expect("an answer");
        assert_eq!(answer.outcome, "ran", "lookup {number}");
    }
    for number in 0..30 {
        let caller = hub.caller(number % 2);
        let key = format!("k{number}");
        assert_eq!(caller.order(&key, BODY).await.expect("an answer").outcome, "ran");
        assert_eq!(record.runs_of(&key), 1);
    }
}
