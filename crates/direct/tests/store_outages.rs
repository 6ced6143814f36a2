//! Entries after outages of the store: it answers no calls, refuses them, or loses
//! open connections.

mod common;

use std::time::Duration;

use actix_rt::test;
use clementine_direct::{Running, start};
use clementine_platform::settings::InstanceSettings;
use common::{Backend, PollMode, Store, config, send_request, settings, start_entry, wait_until};
use futures::future::join_all;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after the end of a disruption of the store within which each entry has the
/// newest configuration.
const RECOVERY_BOUND: Duration = Duration::from_secs(3);
/// Delay of a change of the configuration after the end of a disruption.
const CHANGE_DELAY: Duration = Duration::from_millis(50);
/// Long enough for each entry to have read the tables and for one to plan.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Durations of the silence. They differ by less than the longest delay between two
/// calls, so that the silence ends at different moments of them.
const SILENCES_MS: [u64; 10] = [300, 1_100, 1_900, 2_700, 3_400, 4_200, 5_000, 5_700, 6_300, 7_100];
/// Number of stores that refuse calls, the shortest time for which one does, and the
/// difference between two of them in ms.
const REFUSING_STORES: u64 = 32;
const SHORTEST_REFUSAL_MS: u64 = 6_000;
const REFUSAL_STEP_MS: u64 = 130;
/// Moments after the start at which open connections fall silent, spread over the
/// time of a long poll.
const MOMENTS_MS: [u64; 7] = [0, 700, 1_400, 2_100, 2_800, 3_500, 4_200];

/// Starts one entry in each of three failure domains.
async fn start_domains(store: &Store) -> Vec<Running> {
    let start_in = |domain: &str| {
        let settings = InstanceSettings {
            domain: domain.into(),
            ..settings(&format!("entry-{domain}"), store)
        };
        start(settings).expect("entry starts")
    };
    let entries: Vec<Running> = ["a", "b", "c"].map(start_in).into();
    for entry in &entries {
        wait_until("the entry is ready", async || {
            send_request(entry.readiness, "GET", "/-/readiness", "").await.status == 200
        })
        .await;
    }
    entries
}

/// Changes the configuration and returns how many entries do not apply it within
/// the bound after the disruption ended at `end`.
async fn count_late(store: &Store, entries: &[Running], end: Instant) -> usize {
    store.put("op", "config", &config(2, 12).replace("/safe/", "/renamed/"));
    sleep_until(end + RECOVERY_BOUND).await;
    let requests = entries.iter().map(|e| send_request(e.callers, "POST", "/renamed/x", "x"));
    let responses = join_all(requests).await;
    responses.iter().filter(|response| response.status == 404).count()
}

/// Starts three entries in one failure domain. The first two follow the store, the
/// third one follows them.
async fn start_neighbors(store: &Store) -> Vec<Running> {
    let mut entries = Vec::new();
    for name in ["a-one", "b-two", "c-three"] {
        entries.push(start_entry(name, store).await);
    }
    entries
}

/// Removes a server after the store has refused calls, and returns how many entries
/// still send requests to it after the bound.
async fn count_late_after_refusals(refusal: Duration) -> usize {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let _server = Backend::start("plain-1", "plain", &store).await;
    let entries = start_neighbors(&store).await;
    sleep(SETTLE_TIME).await;
    store.refuses.set(true);
    sleep(refusal).await;
    store.refuses.set(false);
    let end = Instant::now();
    sleep(CHANGE_DELAY).await;
    store.remove("servers", "plain-1");
    sleep_until(end + RECOVERY_BOUND).await;
    let requests = entries.iter().map(|e| send_request(e.callers, "POST", "/safe/x", "x"));
    let responses = join_all(requests).await;
    responses.iter().filter(|response| response.status == 200).count()
}

#[test]
async fn server_that_left_after_refusals_gets_no_request_of_an_entry_that_follows_neighbors() {
    let refusals = (0..REFUSING_STORES).map(|n| SHORTEST_REFUSAL_MS + n * REFUSAL_STEP_MS);
    let counts =
        refusals.map(async |ms| (ms, count_late_after_refusals(Duration::from_millis(ms)).await));
    let late: Vec<(u64, usize)> = join_all(counts).await;
    let late: Vec<&(u64, usize)> = late.iter().filter(|(_, late)| *late > 0).collect();
    assert!(late.is_empty(), "refusal in ms and number of late entries: {late:?}");
}

async fn count_late_after_silence(silence: Duration) -> usize {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let entries = start_domains(&store).await;
    sleep(SETTLE_TIME).await;
    store.set_silent(true);
    sleep(silence).await;
    store.set_silent(false);
    let end = Instant::now();
    sleep(CHANGE_DELAY).await;
    count_late(&store, &entries, end).await
}

#[test]
async fn configuration_changed_after_a_silence_of_the_store_is_not_late() {
    let late = join_all(
        SILENCES_MS.map(async |ms| (ms, count_late_after_silence(Duration::from_millis(ms)).await)),
    )
    .await;
    let late: Vec<(u64, usize)> = late.into_iter().filter(|(_, late)| *late > 0).collect();
    assert!(late.is_empty(), "silence in ms and number of late entries: {late:?}");
}

async fn count_late_after_lost_connections(started_for: Duration) -> usize {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let entries = start_domains(&store).await;
    sleep(SETTLE_TIME + started_for).await;
    store.poll_mode.set(PollMode::NoResponse);
    let end = Instant::now();
    sleep(CHANGE_DELAY).await;
    count_late(&store, &entries, end).await
}

#[test]
async fn configuration_changed_after_connections_fell_silent_is_not_late() {
    let late =
        join_all(MOMENTS_MS.map(async |ms| {
            (ms, count_late_after_lost_connections(Duration::from_millis(ms)).await)
        }))
        .await;
    let late: Vec<(u64, usize)> = late.into_iter().filter(|(_, late)| *late > 0).collect();
    assert!(late.is_empty(), "moment in ms and number of late entries: {late:?}");
}
