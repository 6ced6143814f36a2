//! The lease of the planner: who holds it, and with which fencing number.

use clementine_decide::ids::{IncarnationId, StoreEra, StoreVersion, Tick};
use clementine_decide::lease::{
    FencingNumber, LeaseLimits, LeaseQuorum, LeaseRow, LeaseState, LeaseStep, StoreOutage,
};

/// Version in the first era of the store.
const fn first(number: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(0), number }
}

/// Version in the second era of the store.
const fn second(number: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(1), number }
}

/// Fencing number of a lease acquired by a write in the first era.
fn fence(number: u64) -> FencingNumber {
    first(number).into()
}

fn lease(entry: &str, incarnation: u128) -> LeaseState {
    LeaseState::new(LeaseLimits::default(), entry.into(), IncarnationId(incarnation))
}

/// Takes the lease for a process and returns the written row.
fn take(
    lease: &mut LeaseState,
    read: Option<(StoreVersion, &LeaseRow)>,
    written: StoreVersion,
    now: Tick,
) -> LeaseRow {
    let LeaseStep::Write { row, .. } = lease.record_read(read, now) else {
        panic!("expected a write")
    };
    lease.record_write(written, row.term, now);
    row
}

#[test]
fn a_lease_is_taken_over_only_after_it_has_expired() {
    let (mut one, mut two) = (lease("one", 1), lease("two", 2));
    let row = take(&mut one, None, first(10), Tick(0));
    assert_eq!(one.fence(Tick(2_700)), Some(fence(10)));
    assert_eq!(one.fence(Tick(2_800)), None, "the validity ends before the time to live");
    assert_eq!(two.record_read(Some((first(10), &row)), Tick(100)), LeaseStep::Wait);
    assert_eq!(two.record_read(Some((first(10), &row)), Tick(3_500)), LeaseStep::Wait);
    let taken = take(&mut two, Some((first(10), &row)), first(11), Tick(3_600));
    assert_eq!((taken.term, two.fence(Tick(3_700))), (2, Some(fence(11))));
    assert_eq!(one.record_read(Some((first(11), &taken)), Tick(3_700)), LeaseStep::Wait);
}

#[test]
fn a_renewed_lease_does_not_expire() {
    let (mut one, mut two) = (lease("one", 1), lease("two", 2));
    let row = take(&mut one, None, first(10), Tick(0));
    for n in 0..10 {
        let now = Tick(1_000 * n);
        let step = one.renewal(now).expect("held");
        assert_eq!(step, LeaseStep::Write { expected: 10 + n, row: row.clone() });
        one.record_write(first(11 + n), 1, now);
        assert_eq!(two.record_read(Some((first(11 + n), &row)), now), LeaseStep::Wait);
    }
}

#[test]
fn an_announced_lease_expires_from_the_announcement() {
    let (mut one, mut two) = (lease("one", 1), lease("two", 2));
    let row = take(&mut one, None, first(10), Tick(0));
    two.record_announcement(first(10), Tick(100));
    two.record_announcement(first(9), Tick(2_000));
    assert_eq!(one.fence(Tick(2_800)), None);
    assert_eq!(two.record_read(Some((first(10), &row)), Tick(3_000)), LeaseStep::Wait);
    assert_eq!(take(&mut two, Some((first(10), &row)), first(11), Tick(3_600)).term, 2);
}

#[test]
fn a_restarted_process_takes_its_own_lease_at_once() {
    let row = take(&mut lease("one", 1), None, first(10), Tick(0));
    let taken = take(&mut lease("one", 2), Some((first(10), &row)), first(11), Tick(50));
    assert_eq!(taken.term, 2);
}

#[test]
fn a_released_lease_can_be_taken_at_once() {
    let mut one = lease("one", 1);
    take(&mut one, None, first(10), Tick(0));
    let (version, row) = one.release(Tick(100)).expect("held");
    assert_eq!((version, one.fence(Tick(100))), (10, None));
    assert_eq!(take(&mut lease("two", 2), Some((first(11), &row)), first(12), Tick(200)).term, 2);
}

const FULL_QUORUM: LeaseQuorum =
    LeaseQuorum { live: 5, live_at_renewal: 5, other_holder: false, others_reach_store: false };

/// A holder that sent its last renewal at 0 ms.
fn holder() -> LeaseState {
    let mut lease = LeaseState::new(LeaseLimits::default(), "one".into(), IncarnationId(1));
    let LeaseStep::Write { row, .. } = lease.record_read(None, Tick(0)) else {
        panic!("expected a write")
    };
    lease.record_write(first(7), row.term, Tick(0));
    lease
}

#[test]
fn a_holder_extends_the_lease_during_an_outage_while_the_quorum_allows_it() {
    let mut lease = holder();
    for ms in (1_000..20_000).step_by(2_000) {
        lease.extend(FULL_QUORUM, Tick(ms));
        assert_eq!(
            (lease.fence(Tick(ms)), lease.held_version(Tick(ms))),
            (Some(fence(7)), Some(first(7)))
        );
    }
    assert!(matches!(lease.renewal(Tick(20_000)), Some(LeaseStep::Write { expected: 7, .. })));
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
        assert_eq!(lease.fence(Tick(2_900)), None, "{quorum:?}");
    }
}

#[test]
fn an_expired_lease_is_not_extended() {
    let mut lease = holder();
    lease.extend(FULL_QUORUM, Tick(3_000));
    assert_eq!(lease.fence(Tick(3_000)), None);
}

#[test]
fn versions_read_before_an_outage_do_not_count_as_access_to_the_store() {
    let mut outage = StoreOutage::new(first(40), Tick(1_000));
    assert!(!outage.others_reach_store(first(44), Tick(1_900)), "within the propagation time");
    assert!(!outage.others_reach_store(first(44), Tick(9_000)));
    assert!(outage.others_reach_store(first(45), Tick(9_000)), "read after the outage began");
}

#[test]
fn a_version_of_a_later_era_is_newer_than_any_of_an_earlier_one() {
    assert!(second(1) > first(u64::MAX));
    assert!(FencingNumber::from(second(1)) > FencingNumber::from(first(1 << 39)));
    assert_eq!(second(250).to_string().parse::<StoreVersion>().ok(), Some(second(250)));
    for text in ["", "3", "a.1", "1.b", "1.2.3"] {
        assert!(text.parse::<StoreVersion>().is_err(), "`{text}`");
    }
}

#[test]
fn a_holder_whose_row_may_be_lost_does_not_act_on_it() {
    let mut one = lease("one", 1);
    take(&mut one, None, first(900), Tick(0));
    one.record_era(StoreEra(0));
    assert_eq!(one.fence(Tick(100)), Some(fence(900)));
    one.record_era(StoreEra(1));
    assert_eq!((one.fence(Tick(100)), one.renewal(Tick(100))), (None, None));
    one.extend(FULL_QUORUM, Tick(110));
    assert_eq!(one.fence(Tick(110)), None);
}

/// The restored copy has no lease row, or an old one, and the store's numbers begin
/// below those that were assigned before.
#[test]
fn the_fence_rises_although_the_store_has_lost_the_lease_row() {
    let mut one = lease("one", 1);
    let row = take(&mut one, None, first(900), Tick(0));
    let before = one.fence(Tick(100)).expect("held");
    one.record_era(StoreEra(1));
    for restored in [None, Some((second(40), &row))] {
        let mut two = lease("two", 2);
        // The row's time to live counts from its first sight in the new era.
        two.record_read(restored, Tick(200));
        take(&mut two, restored, second(41), Tick(4_000));
        assert!(two.fence(Tick(4_100)).expect("held") > before, "restored: {restored:?}");
    }
}
