//! A holder of a lease while the store is away.

use clementine_decide::ids::{IncarnationId, Tick};
use clementine_decide::lease::{LeaseLimits, LeaseQuorum, LeaseState, LeaseStep, StoreOutage};

const ALL: LeaseQuorum =
    LeaseQuorum { live: 5, live_at_renewal: 5, other_holder: false, others_reach_store: false };

/// A holder whose last renewal was sent at 0.
fn holder() -> LeaseState {
    let mut watch = LeaseState::new(LeaseLimits::default(), "one".into(), IncarnationId(1));
    let LeaseStep::Write { row, .. } = watch.record_read(None, Tick(0)) else { panic!("no step") };
    watch.record_write(7, row.term, Tick(0));
    watch
}

#[test]
fn a_holder_goes_on_through_an_outage_as_long_as_the_others_follow() {
    let mut watch = holder();
    for ms in (1_000..20_000).step_by(2_000) {
        watch.extend(ALL, Tick(ms));
        assert_eq!((watch.term(Tick(ms)), watch.held_version(Tick(ms))), (Some(1), Some(7)));
    }
    assert!(matches!(watch.renewal(Tick(20_000)), Some(LeaseStep::Write { version: 7, .. })));
}

#[test]
fn a_holder_stops_when_few_hear_it_or_another_can_hold_the_lease() {
    for audience in [
        LeaseQuorum { live: 2, ..ALL },
        LeaseQuorum { other_holder: true, ..ALL },
        LeaseQuorum { others_reach_store: true, ..ALL },
    ] {
        let mut watch = holder();
        watch.extend(audience, Tick(2_000));
        assert_eq!(watch.term(Tick(2_900)), None, "{audience:?}");
    }
}

#[test]
fn a_lease_that_has_lapsed_does_not_come_back_without_the_store() {
    let mut watch = holder();
    watch.extend(ALL, Tick(3_000));
    assert_eq!(watch.term(Tick(3_000)), None);
}

#[test]
fn what_others_learned_before_an_outage_is_no_sign_that_they_reach_the_store() {
    let mut outage = StoreOutage::new(40, Tick(1_000));
    assert!(!outage.others_reach_store(44, Tick(1_900)), "still on its way");
    assert!(!outage.others_reach_store(44, Tick(9_000)));
    assert!(outage.others_reach_store(45, Tick(9_000)), "learned meanwhile");
}
