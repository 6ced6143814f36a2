//! Admission to one backend server.

use clementine_decide::admission::{AdmissionDecision, AdmissionLimits, AdmissionQueue, Urgency};
use clementine_decide::ids::{Tick, WorkId};
use clementine_objects::Millis;

const LIMITS: AdmissionLimits = AdmissionLimits { slots: 2, queue: 3 };

fn urgency(level: u8, deadline: u64) -> Urgency {
    Urgency { level, deadline: Tick(deadline) }
}

/// A queue with all slots taken and a known service time.
fn busy(service_time: u64) -> AdmissionQueue<&'static str> {
    let mut admission = AdmissionQueue::new(LIMITS);
    let soon = urgency(0, 100_000);
    assert_eq!(admission.offer(WorkId(0), "warm", soon, Tick(0)), AdmissionDecision::Start("warm"));
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
fn waiting_work_starts_by_deadline_and_level() {
    let mut admission = busy(10);
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
fn work_that_can_t_be_answered_in_time_is_refused_at_once() {
    let mut admission = busy(1_000);
    let AdmissionDecision::Refused(refusal) =
        admission.offer(WorkId(3), "hasty", urgency(0, 1_200), Tick(0))
    else {
        panic!("the work was admitted");
    };
    assert_eq!((refusal.item, refusal.retry_after), ("hasty", Millis(500)));
    assert_eq!(
        admission.offer(WorkId(4), "patient", urgency(0, 1_500), Tick(0)),
        AdmissionDecision::Queued
    );
}

#[test]
fn a_full_queue_refuses_and_tells_when_to_come_back() {
    let mut admission = busy(10);
    for work in 3..=5 {
        let offer = admission.offer(WorkId(work), "waits", urgency(0, 60_000), Tick(0));
        assert_eq!(offer, AdmissionDecision::Queued);
    }
    let AdmissionDecision::Refused(refusal) =
        admission.offer(WorkId(6), "one more", urgency(0, 60_000), Tick(0))
    else {
        panic!("the queue is over its bound");
    };
    assert_eq!(refusal.retry_after, Millis(20));
}

#[test]
fn expired_and_withdrawn_work_never_starts() {
    let mut admission = busy(10);
    admission.offer(WorkId(3), "expires", urgency(0, 50), Tick(0));
    admission.offer(WorkId(4), "withdrawn", urgency(0, 500), Tick(0));
    admission.offer(WorkId(5), "stays", urgency(0, 500), Tick(0));
    assert_eq!(admission.take_expired(Tick(50)), ["expires"]);
    assert_eq!(admission.remove(WorkId(4)), Some("withdrawn"));
    assert_eq!(admission.finish(Millis(10)), ["stays"]);
    assert_eq!((admission.running(), admission.queued()), (2, 0));
}

#[test]
fn more_slots_start_waiting_work() {
    let mut admission = busy(10);
    admission.offer(WorkId(3), "waits", urgency(0, 500), Tick(0));
    assert_eq!(admission.set_limits(AdmissionLimits { slots: 3, queue: 3 }), ["waits"]);
}
