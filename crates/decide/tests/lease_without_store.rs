//! Lease extension during an outage of the store.

use clementine_decide::ids::{IncarnationId, Tick};
use clementine_decide::lease::{LeaseLimits, LeaseQuorum, LeaseState, LeaseStep, StoreOutage};

const FULL_QUORUM: LeaseQuorum =
    LeaseQuorum { live: 5, live_at_renewal: 5, other_holder: false, others_reach_store: false };

/// A holder that sent its last renewal at 0 ms.
fn holder() -> LeaseState {
    let mut lease = LeaseState::new(LeaseLimits::default(), "one".into(), IncarnationId(1));
    let LeaseStep::Write { row, .. } = lease.record_read(None, Tick(0)) else {
        panic!("expected a write")
    };
    lease.record_write(7, row.term, Tick(0));
    lease
}

#[test]
fn a_holder_extends_the_lease_during_an_outage_while_the_quorum_allows_it() {
    let mut lease = holder();
    for ms in (1_000..20_000).step_by(2_000) {
        lease.extend(FULL_QUORUM, Tick(ms));
        assert_eq!((lease.term(Tick(ms)), lease.held_version(Tick(ms))), (Some(1), Some(7)));
    }
    assert!(matches!(lease.renewal(Tick(20_000)), Some(LeaseStep::Write { version: 7, .. })));
}

#[test]
fn a_holder_without_quorum_or_with_a_possible_successor_does_not_extend() {
    for quorum in [
        LeaseQuorum { live: 2, ..FULL_QUORUM },
        LeaseQuorum { other_holder: true, ..FULL_QUORUM },
        LeaseQuorum { others_reach_store: true, ..FULL_QUORUM },
    ] {
        let mut lease = holder();
        lease.extend(quorum, Tick(2_000));
        assert_eq!(lease.term(Tick(2_900)), None, "{quorum:?}");
    }
}

#[test]
fn an_expired_lease_is_not_extended() {
    let mut lease = holder();
    lease.extend(FULL_QUORUM, Tick(3_000));
    assert_eq!(lease.term(Tick(3_000)), None);
}

#[test]
fn versions_read_before_an_outage_do_not_count_as_access_to_the_store() {
    let mut outage = StoreOutage::new(40, Tick(1_000));
    assert!(!outage.others_reach_store(44, Tick(1_900)), "within the propagation time");
    assert!(!outage.others_reach_store(44, Tick(9_000)));
    assert!(outage.others_reach_store(45, Tick(9_000)), "read after the outage began");
}
