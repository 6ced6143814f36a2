//! Admission queue of one backend server: order, refusal and expiry.

use clementine_decide::admission::{AdmissionDecision, AdmissionLimits, AdmissionQueue, Urgency};
use clementine_decide::ids::{Tick, WorkId};
use clementine_objects::Millis;

const LIMITS: AdmissionLimits = AdmissionLimits { slots: 2, queue: 3 };

fn urgency(level: u8, deadline: u64) -> Urgency {
    Urgency { level, deadline: Tick(deadline) }
}

/// A queue with all slots in use and a measured service time.
fn full_slots(service_time: u64) -> AdmissionQueue<&'static str> {
    let mut admission = AdmissionQueue::new(LIMITS);
    let soon = urgency(0, 100_000);
    assert_eq!(
        admission.offer(WorkId(0), "warm-up", soon, Tick(0)),
        AdmissionDecision::Start("warm-up")
    );
    assert!(admission.finish(Millis(service_time)).is_empty());
    for work in 1..=2 {
        assert_eq!(
            admission.offer(WorkId(work), "busy", soon, Tick(0)),
            AdmissionDecision::Start("busy")
        );
    }
    admission
}

#[test]
fn queued_work_starts_by_deadline_offset_by_priority() {
    let mut admission = full_slots(10);
    let cases = [
        (3, "late", urgency(0, 9_000)),
        (4, "soon", urgency(0, 5_000)),
        (5, "low", urgency(3, 4_000)),
    ];
    for (work, item, urgency) in cases {
        assert_eq!(
            admission.offer(WorkId(work), item, urgency, Tick(0)),
            AdmissionDecision::Queued
        );
    }
    let order: Vec<_> = (0..3).flat_map(|_| admission.finish(Millis(10))).collect();
    assert_eq!(order, ["soon", "late", "low"]);
}

#[test]
fn work_that_would_miss_its_deadline_is_refused() {
    let mut admission = full_slots(1_000);
    let AdmissionDecision::Refused(refusal) =
        admission.offer(WorkId(3), "short deadline", urgency(0, 1_200), Tick(0))
    else {
        panic!("work that would miss its deadline was admitted");
    };
    assert_eq!((refusal.item, refusal.retry_after), ("short deadline", Millis(500)));
    assert_eq!(
        admission.offer(WorkId(4), "long deadline", urgency(0, 1_500), Tick(0)),
        AdmissionDecision::Queued
    );
}

#[test]
fn a_full_queue_refuses_with_the_expected_wait() {
    let mut admission = full_slots(10);
    for work in 3..=5 {
        let offer = admission.offer(WorkId(work), "waits", urgency(0, 60_000), Tick(0));
        assert_eq!(offer, AdmissionDecision::Queued);
    }
    let AdmissionDecision::Refused(refusal) =
        admission.offer(WorkId(6), "over capacity", urgency(0, 60_000), Tick(0))
    else {
        panic!("work was admitted to a full queue");
    };
    assert_eq!(refusal.retry_after, Millis(20));
}

#[test]
fn expired_and_removed_work_does_not_start() {
    let mut admission = full_slots(10);
    admission.offer(WorkId(3), "expires", urgency(0, 50), Tick(0));
    admission.offer(WorkId(4), "removed", urgency(0, 500), Tick(0));
    admission.offer(WorkId(5), "stays", urgency(0, 500), Tick(0));
    assert_eq!(admission.take_expired(Tick(50)), ["expires"]);
    assert_eq!(admission.remove(WorkId(4)), Some("removed"));
    assert_eq!(admission.finish(Millis(10)), ["stays"]);
    assert_eq!((admission.running(), admission.queued()), (2, 0));
}

#[test]
fn additional_slots_start_queued_work() {
    let mut admission = full_slots(10);
    admission.offer(WorkId(3), "waits", urgency(0, 500), Tick(0));
    assert_eq!(admission.set_limits(AdmissionLimits { slots: 3, queue: 3 }), ["waits"]);
}
