//! Failure detection for engines: connection probes, reported slowdown and
//! recent activity.

mod engine_fixtures;

use clementine_decide::fleet::{Member, ProbeResult, unreachable_engines};
use clementine_decide::ids::{BackendId, Tick};
use engine_fixtures::backend;

fn down(probes: &[ProbeResult]) -> Vec<BackendId> {
    let indexed = probes.iter().enumerate();
    let indexed: Vec<_> =
        indexed.map(|(n, result)| (BackendId::from(format!("e{n}").as_str()), *result)).collect();
    unreachable_engines(&indexed)
}

#[test]
fn refused_connection_means_down_regardless_of_other_engines() {
    assert_eq!(down(&[ProbeResult::TimedOut, ProbeResult::Refused]), ["e1".into()]);
}

#[test]
fn timeout_means_down_if_most_engines_are_reachable() {
    let ok = ProbeResult::Connected;
    assert_eq!(down(&[ok, ok, ProbeResult::TimedOut, ok]), ["e2".into()]);
}

#[test]
fn timeouts_are_ignored_if_few_engines_are_reachable() {
    assert_eq!(down(&[ProbeResult::TimedOut; 4]), []);
    assert_eq!(down(&[ProbeResult::Connected, ProbeResult::TimedOut, ProbeResult::Connected]), []);
}

#[test]
fn reported_slowdown_expires() {
    let mut member = Member::new(backend("e0", "model"), Tick(0));
    assert!(member.is_slowdown_stale(Tick(0)));
    member.record_slowdown(4.0, Tick(1_000));
    assert!((member.slowdown(Tick(3_000)) - 4.0).abs() < 1e-9);
    assert!(!member.is_slowdown_stale(Tick(2_000)) && member.is_slowdown_stale(Tick(3_000)));
    assert!((member.slowdown(Tick(6_000)) - 1.0).abs() < 1e-9, "an expired report must not count");
}

#[test]
fn recent_connection_or_event_counts_as_alive() {
    let mut member = Member::new(backend("e0", "model"), Tick(0));
    assert!(!member.is_recently_alive(Tick(500)));
    member.record_connection(Tick(500));
    assert!(member.is_recently_alive(Tick(700)) && !member.is_recently_alive(Tick(800)));
    member.record_activity(Tick(1_000));
    assert!(member.is_recently_alive(Tick(1_050)) && !member.is_recently_alive(Tick(1_100)));
}
