//! What a backend server says in its responses, over its listings and restarts.

use clementine_decide::fleet::{Backend, BackendState, Fleet};
use clementine_decide::ids::{BackendId, Tick};
use clementine_decide::signals::{ResponseSignals, ResponseSource, Signal};
use clementine_objects::Millis;

const POOL: &str = "pool";

fn backend(id: &str, started_ms: u64) -> Backend {
    Backend {
        id: id.into(),
        pool: POOL.into(),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        domain: "a".into(),
        state: BackendState::Ready,
        slots: 4,
        started_ms: Some(started_ms),
        accelerator: None,
        layers: None,
        orders_started: 0,
    }
}

fn delay(ms: u64) -> ResponseSignals {
    ResponseSignals { retry_delay: Signal::Present(Millis(ms)), ..ResponseSignals::default() }
}

fn draining() -> ResponseSignals {
    ResponseSignals { draining: Signal::Present(()), ..ResponseSignals::default() }
}

fn is_usable(fleet: &Fleet, id: &BackendId, now: u64) -> bool {
    fleet.get(id).is_some_and(|member| member.is_usable(Tick(now)))
}

#[test]
fn longest_retry_delay_counts_and_activity_does_not_end_it() {
    let id = BackendId::from("one");
    let mut fleet = Fleet::default();
    fleet.upsert(backend("one", 1), Tick(0));
    fleet.apply_signals(&id, delay(2_000), ResponseSource::Caller, Tick(0));
    fleet.apply_signals(&id, delay(500), ResponseSource::Caller, Tick(100));
    fleet.get_mut(&id).expect("listed").record_activity(Tick(200));
    assert!(!is_usable(&fleet, &id, 1_999) && is_usable(&fleet, &id, 2_000));
    assert_eq!(fleet.pool_pause(&POOL.into(), Tick(500)), Some(Millis(1_500)));
    fleet.upsert(backend("two", 1), Tick(600));
    assert_eq!(fleet.pool_pause(&POOL.into(), Tick(600)), None, "the other one accepts requests");
}

#[test]
fn retry_delay_is_bounded() {
    let id = BackendId::from("one");
    let mut fleet = Fleet::default();
    fleet.upsert(backend("one", 1), Tick(0));
    fleet.apply_signals(&id, delay(u64::MAX), ResponseSource::Caller, Tick(0));
    assert!(!is_usable(&fleet, &id, 3_599_999) && is_usable(&fleet, &id, 3_600_000));
}

#[test]
fn signals_outlast_the_row_but_not_a_restart() {
    let id = BackendId::from("one");
    let mut fleet = Fleet::default();
    fleet.upsert(backend("one", 1), Tick(0));
    fleet.apply_signals(&id, draining(), ResponseSource::Caller, Tick(0));
    fleet.remove(&id, Tick(10));
    fleet.upsert(backend("one", 1), Tick(20));
    assert!(!is_usable(&fleet, &id, 20), "listed again, still draining");
    fleet.upsert(backend("one", 2), Tick(30));
    assert!(is_usable(&fleet, &id, 30), "restarted under the same id");
    fleet.upsert(backend("one", 1), Tick(40));
    assert!(!is_usable(&fleet, &id, 40), "an old row");
}

#[test]
fn other_entries_learn_that_a_server_is_draining() {
    let id = BackendId::from("one");
    let [mut a, mut b] = [Fleet::default(), Fleet::default()];
    a.upsert(backend("one", 1), Tick(0));
    b.upsert(backend("one", 1), Tick(0));
    a.apply_signals(&id, draining(), ResponseSource::Entry, Tick(0));
    let mut reports = 0;
    while let [report] = a.next_signal_reports(16, Tick(100))[..] {
        reports += 1;
        assert_eq!(b.merge_signals(&report, Tick(100)).is_some(), reports == 1);
    }
    assert!((5..100).contains(&reports), "repeated for lost messages, but not forever");
    assert!(!is_usable(&b, &id, 100));
}
