//! Distribution of the configuration: it reaches all instances, never reverts to an
//! older revision, and stays available when the platform's store is not.

use clementine_e2e::{Cluster, ClusterSpec, RecordFile, eventually};
use serde_json::json;

const BATCH: &str = "{kind: priority, name: batch, level: 8}";

/// Waits until all entries use a revision.
async fn wait_for_revision(cluster: &Cluster, revision: &str) {
    for entry in 0..cluster.entries.len() {
        eventually("the entry uses the new revision", || async {
            cluster.revision(entry).await == revision
        })
        .await;
    }
}

#[actix_rt::test]
async fn change_takes_effect_at_all_instances() {
    let cluster = Cluster::start(ClusterSpec::new(3).engines(2, "0ms")).await;
    cluster.apply(BATCH).await;
    let (succeeded, output) = cluster.run_ctl(&["watch", "--revision", "2"], "").await;
    assert!(succeeded, "{output}");
    assert!(output.contains("in force at 5 of 5 instances"), "{output}");
}

#[actix_rt::test]
async fn configuration_spreads_and_new_entries_start_without_the_store() {
    let record = RecordFile::new("no-store");
    let spec = ClusterSpec::new(2).engines(1, "0ms").services(1, record.path(), "0ms");
    let mut cluster = Cluster::start(spec.entry_flag("platform-call-time", "200ms")).await;
    cluster.apply(BATCH).await;
    let in_force = || async { cluster.revision(0).await == "2" };
    eventually("the publishing entry uses the new revision", in_force).await;
    cluster.set_platform_faults(&json!({ "table": "hang", "objects": "hang" })).await;
    eventually("the other entry uses the new revision", || async {
        cluster.revision(1).await == "2"
    })
    .await;

    cluster.add_entry();
    eventually("the new entry is ready", || async { cluster.is_ready(2).await }).await;
    assert_eq!(cluster.revision(2).await, "2");
    let response = cluster.client(2).chat("key-advisor", "Which?", 2).await.expect("no response");
    assert_eq!(response.outcome, "ran");
    assert_eq!(cluster.client(2).lookup().await.expect("no response").outcome, "ran");

    let (succeeded, output) =
        cluster.run_ctl(&["apply", "-f", "-"], "{kind: priority, name: x, level: 1}").await;
    assert!(!succeeded);
    assert!(output.contains("table service"), "{output}");
    assert_eq!(cluster.revision(0).await, "2");
}

#[actix_rt::test]
async fn resumed_entry_catches_up_without_reverting_other_entries() {
    let cluster = Cluster::start(ClusterSpec::new(2).engines(1, "0ms")).await;
    cluster.entries[1].process.pause();
    for level in 1..4 {
        cluster.apply(&format!("{{kind: priority, name: batch, level: {level}}}")).await;
    }
    cluster.entries[1].process.resume();
    eventually("the entry catches up", || async { cluster.revision(1).await == "4" }).await;
    assert_eq!(cluster.revision(0).await, "4");
}

/// An operator checks a file before applying it: nothing is published, and the exit status
/// tells whether anything was reported.
#[actix_rt::test]
async fn check_reports_findings_and_differences_from_the_version_in_force() {
    let cluster = Cluster::start(ClusterSpec::new(1).engines(1, "0ms")).await;
    let revision = cluster.revision(0).await;
    let args = ["check", "-", "--against", "server"];
    let spare = "{kind: pool, name: spare, serves: service, concurrency: 1}";
    let (clean, output) = cluster.run_ctl(&args, spare).await;
    assert!(!clean, "{output}");
    for expected in ["+ pool `spare`", "pool `spare`: name: no route or model uses it"] {
        assert!(output.contains(expected), "{output}");
    }
    let (_, in_force) = cluster.run_ctl(&["get", "pool", "-o", "yaml"], "").await;
    let (clean, output) = cluster.run_ctl(&["check", "-"], "{kind: pool, name: p}").await;
    assert!(!clean && output.contains("error: "), "{output}");
    assert!(!in_force.contains("spare"), "{in_force}");
    assert_eq!(cluster.revision(0).await, revision);
}

/// The routing of entries that reach backend servers themselves needs no server to check.
#[actix_rt::test]
async fn check_reports_contradicting_limits_of_routing() {
    const ROUTING: &str = r#"{"version":1,"routes":[{"name":"a","host":"h","prefix":"/a/",
        "kind":"safe","timeout-ms":300,"target-latency-ms":500,"service":"plain","max-attempts":4}],
        "services":[{"name":"plain","health-path":"/health","max-conns":9}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
        "idle-timeout-ms":15000}}"#;
    let cluster = Cluster::start(ClusterSpec::new(1).engines(1, "0ms")).await;
    let args = ["check", "--routing", "-", "--servers", "plain=3"];
    let (clean, output) = cluster.run_ctl(&args, ROUTING).await;
    assert!(!clean, "{output}");
    for expected in [
        "route `a`: timeout: 300ms is below the target latency 500ms",
        "route `a`: max-attempts: 4 is more than the 3 servers of pool `plain`",
    ] {
        assert!(output.contains(expected), "{output}");
    }
    let sound = ROUTING.replace("300", "900").replace(":4}", ":2}");
    let (clean, output) = cluster.run_ctl(&args, &sound).await;
    assert!(clean && output.is_empty(), "{output}");
}

#[actix_rt::test]
async fn change_with_lost_store_responses_is_reported_correctly() {
    let cluster = Cluster::start(ClusterSpec::new(1).engines(1, "0ms")).await;
    cluster.set_platform_faults(&json!({ "table": "lose-answers" })).await;
    let (succeeded, output) = cluster.run_ctl(&["apply", "-f", "-"], BATCH).await;
    cluster.set_platform_faults(&json!({ "table": "up" })).await;
    let (_, history) = cluster.run_ctl(&["history"], "").await;
    // Reads fail too while responses are lost, so `apply` may be unable to tell whether
    // the change was accepted.
    assert!(
        succeeded || output.contains("not known") || output.contains("not accepted"),
        "{output}"
    );
    assert!(!succeeded || history.contains("batch"), "{history}");
}

#[actix_rt::test]
async fn all_validation_errors_are_reported_with_file_object_and_field() {
    let cluster = Cluster::start(ClusterSpec::new(1).engines(1, "0ms")).await;
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
    let (succeeded, output) = cluster.run_ctl(&["apply", "-f", "-"], objects).await;
    assert!(!succeeded);
    let expected = [
        "4 faults found",
        "-: route `stock`: pool: there is no pool `orderz`; did you mean `orders`?",
        "-: route `stock`: path: must begin with `/`",
        "-: pool `new`: concurrency: must be at least 1",
        "-: model `key-advisor`: pools: no chain of layer ranges leads from layer 16 to layer 31",
    ];
    for line in expected {
        assert!(output.contains(line), "`{line}` is missing from:\n{output}");
    }
    let (succeeded, output) = cluster.run_ctl(&["delete", "pool", "orders"], "").await;
    assert!(!succeeded);
    assert!(output.contains("route `stock`: pool: there is no pool `orders`"), "{output}");
}

#[actix_rt::test]
async fn earlier_revision_is_restored_as_a_new_revision() {
    let cluster = Cluster::start(ClusterSpec::new(1).engines(1, "0ms")).await;
    let (_, before) = cluster.run_ctl(&["get", "priorities"], "").await;
    cluster.apply(BATCH).await;
    let (succeeded, output) = cluster.run_ctl(&["apply", "--revision", "1"], "").await;
    assert!(succeeded && output.contains("accepted as revision 3"), "{output}");
    let (_, after) = cluster.run_ctl(&["get", "priorities"], "").await;
    assert_eq!(before, after);
    let (_, history) = cluster.run_ctl(&["history"], "").await;
    assert_eq!(history.lines().count(), 3);
}

#[actix_rt::test]
async fn empty_instance_list_is_ignored() {
    let cluster = Cluster::start(ClusterSpec::new(1).engines(1, "0ms")).await;
    cluster.put_instance_list(&json!({ "items": [] })).await;
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let response = cluster.client(0).chat("key-advisor", "Which?", 2).await.expect("no response");
    assert_eq!(response.outcome, "ran");
}

#[actix_rt::test]
async fn restored_table_service_does_not_revert_the_configuration_in_force() {
    let cluster = Cluster::start(ClusterSpec::new(2).engines(1, "0ms")).await;
    cluster.set_platform_faults(&json!({ "table_copy": "save" })).await;
    cluster.apply(BATCH).await;
    wait_for_revision(&cluster, "2").await;
    cluster.set_platform_faults(&json!({ "table_copy": "restore" })).await;
    // Longer than the interval at which entries read the head row.
    tokio::time::sleep(std::time::Duration::from_secs(6)).await;
    for entry in 0..2 {
        assert_eq!(cluster.revision(entry).await, "2", "entry {entry}");
        let response = cluster.client(entry).chat("key-advisor", "Which?", 2).await;
        assert_eq!(response.expect("no response").outcome, "ran");
    }
}

#[actix_rt::test]
async fn change_after_a_restore_of_the_table_service_takes_effect() {
    let cluster = Cluster::start(ClusterSpec::new(2).engines(1, "0ms")).await;
    cluster.set_platform_faults(&json!({ "table_copy": "save" })).await;
    cluster.apply(BATCH).await;
    wait_for_revision(&cluster, "2").await;
    cluster.set_platform_faults(&json!({ "table_copy": "restore" })).await;
    cluster.apply("{kind: priority, name: later, level: 3}").await;
    wait_for_revision(&cluster, "3").await;
}
