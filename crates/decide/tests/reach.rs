//! Which engines of a silent run are taken for down.

mod engines_world;

use clementine_decide::fleet::{Member, ProbeResult, unreachable_engines};
use clementine_decide::ids::{BackendId, Tick};
use engines_world::backend;

fn down(reached: &[ProbeResult]) -> Vec<BackendId> {
    let named = reached.iter().enumerate();
    let named: Vec<_> =
        named.map(|(n, reach)| (BackendId::from(format!("e{n}").as_str()), *reach)).collect();
    unreachable_engines(&named)
}

#[test]
fn an_engine_whose_instance_refuses_is_down_whatever_the_others_do() {
    assert_eq!(down(&[ProbeResult::TimedOut, ProbeResult::Refused]), ["e1".into()]);
}

#[test]
fn an_engine_that_is_silent_among_others_that_answer_is_down() {
    let ok = ProbeResult::Connected;
    assert_eq!(down(&[ok, ok, ProbeResult::TimedOut, ok]), ["e2".into()]);
}

#[test]
fn an_entry_that_reaches_few_engines_takes_none_for_down() {
    assert_eq!(down(&[ProbeResult::TimedOut; 4]), []);
    assert_eq!(down(&[ProbeResult::Connected, ProbeResult::TimedOut, ProbeResult::Connected]), []);
}

#[test]
fn an_engine_counts_as_slow_as_long_as_its_word_is_new() {
    let mut member = Member::new(backend("e0", "model"), Tick(0));
    assert!(member.is_slowdown_stale(Tick(0)));
    member.record_slowdown(4.0, Tick(1_000));
    assert!((member.slowdown(Tick(3_000)) - 4.0).abs() < 1e-9);
    assert!(!member.is_slowdown_stale(Tick(2_000)) && member.is_slowdown_stale(Tick(3_000)));
    assert!((member.slowdown(Tick(6_000)) - 1.0).abs() < 1e-9, "it may be well by now");
}

#[test]
fn an_engine_that_took_a_connection_is_not_connected_to_at_every_silence() {
    let mut member = Member::new(backend("e0", "model"), Tick(0));
    assert!(!member.is_recently_alive(Tick(500)));
    member.record_connection(Tick(500));
    assert!(member.is_recently_alive(Tick(700)) && !member.is_recently_alive(Tick(800)));
    member.record_activity(Tick(1_000));
    assert!(member.is_recently_alive(Tick(1_050)) && !member.is_recently_alive(Tick(1_100)));
}
