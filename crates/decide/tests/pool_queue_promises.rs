//! When refused callers are told to return.

use clementine_decide::admission::{
    CallerReturn, MAX_PROMISES, PROMISE_INTERVAL, PoolDecision, PoolLoad, PoolQueue, PoolRequest,
    RefusalReason,
};
use clementine_decide::ids::Tick;
use clementine_decide::quarantine::Fingerprint;
use clementine_objects::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVICE_TIME: Millis = Millis(1_000);

fn request(arrived: Tick) -> PoolRequest {
    PoolRequest {
        begun: false,
        level: 1,
        returned: CallerReturn::New,
        over_share: false,
        arrived,
        target: Millis(600),
        deadline: arrived.after(Millis(9_000)),
    }
}

/// A queue that has seen `running` runs of [`SERVICE_TIME`] end evenly, and has as
/// many in progress.
fn steady_queue(running: u32) -> (PoolQueue<()>, Tick) {
    let mut queue = PoolQueue::default();
    for _ in 0..running {
        queue.record_start(1);
    }
    let mut now = Tick(0);
    for n in 1..=10 * running {
        now = Tick(SERVICE_TIME.0 * u64::from(n) / u64::from(running));
        queue.record_end(Some(SERVICE_TIME), now);
        queue.record_start(1);
    }
    (queue, now)
}

/// Load of a pool that `entries` entries use with `running` runs each.
fn load(entries: u32, running: u32) -> PoolLoad {
    let elsewhere = (entries - 1) * running;
    PoolLoad {
        entries,
        in_flight_elsewhere: elsewhere,
        used: entries * running,
        slots: entries * running,
        ..PoolLoad::default()
    }
}

/// Guards against callers who are all told the same time and are refused again.
#[test]
fn entries_together_promise_no_more_slots_than_become_free() {
    for (entries, running) in [(1, 20), (2, 20), (28, 4), (103, 3)] {
        let load = load(entries, running);
        let mut told = Vec::new();
        for entry in 0..entries {
            let mut rng = SmallRng::seed_from_u64(entry.into());
            let (mut queue, now) = steady_queue(running);
            for n in 0..400_u32 {
                let caller = Fingerprint(n.into());
                let delay = queue.promise(caller, &request(now), &load, now, &mut rng);
                told.push(delay.expect("known").0);
            }
        }
        // Callers beyond the horizon return in its last interval and get no promise.
        for until in (200..=2_300).step_by(100) {
            let promised = told.iter().filter(|delay| **delay <= until).count() as f64;
            let free = f64::from(entries * running) * (until + PROMISE_INTERVAL.0) as f64
                / SERVICE_TIME.0 as f64;
            assert!(
                promised <= free * 1.05 + 1.0,
                "{entries} entries: {promised} of {free} slots by {until} ms"
            );
            assert!(
                promised >= free * 0.5 - f64::from(entries) - f64::from(entries * running) * 0.3,
                "{entries} entries: only {promised} of {free} slots by {until} ms"
            );
        }
        assert!(told.iter().all(|delay| (50..=2_500).contains(delay)));
    }
}

/// Guards against callers who return simultaneously at the start of an interval.
#[test]
fn callers_return_at_different_times_of_an_interval() {
    let (mut queue, now) = steady_queue(100);
    let mut rng = SmallRng::seed_from_u64(7);
    let load = load(1, 100);
    let told: Vec<u64> = (0..100)
        .map(|n| queue.promise(Fingerprint(n), &request(now), &load, now, &mut rng))
        .map(|delay| now.after(delay.expect("known")).0 % PROMISE_INTERVAL.0)
        .collect();
    let late = told.iter().filter(|offset| **offset >= 50).count();
    assert!((25..=75).contains(&late), "{late} of 100 in the second half: {told:?}");
}

/// Guards against callers that retry immediately and take a slot with each retry, and
/// against callers of the same request that are all told the same time.
#[test]
fn a_caller_that_is_refused_again_before_it_is_due_takes_no_slot_from_others() {
    let (mut queue, now) = steady_queue(10);
    let mut rng = SmallRng::seed_from_u64(7);
    let load = load(1, 10);
    let mut told = |queue: &mut PoolQueue<()>, caller, now| {
        queue.promise(Fingerprint(caller), &request(now), &load, now, &mut rng).expect("known").0
    };
    let times: Vec<u64> = (0..10).map(|n| n + told(&mut queue, 1, Tick(now.0 + n))).collect();
    assert_eq!(queue.told_to_return(now), 1);
    assert!(times[9] >= times[0] + 700, "one slot in 100 ms: {times:?}");
    let other = told(&mut queue, 2, now);
    assert!(other <= 400, "the second slot: {other}");
}

/// Guards against slots that stay promised to callers who never return, or who
/// cannot wait so long.
#[test]
fn promises_end_and_are_made_only_to_callers_who_can_wait() {
    let (mut queue, now) = steady_queue(10);
    let mut rng = SmallRng::seed_from_u64(7);
    let load = load(1, 10);
    let hurried = PoolRequest { deadline: now.after(Millis(120)), ..request(now) };
    let mut told = |queue: &mut PoolQueue<()>, caller, request: &PoolRequest, now| {
        queue.promise(Fingerprint(caller), request, &load, now, &mut rng).expect("known").0
    };
    for caller in 0..15 {
        let delay = told(&mut queue, caller, &hurried, now);
        assert!(delay <= 300, "nobody is told to return before: {delay}");
    }
    for caller in 100..115 {
        told(&mut queue, caller, &request(now), now);
    }
    let next = told(&mut queue, 200, &request(now), now);
    assert!((1_400..=1_800).contains(&next), "behind 15 others: {next}");
    let later = now.after(Millis(2_800));
    let first = told(&mut queue, 300, &request(later), later);
    assert!(first <= 400, "all promises have ended: {first}");
}

/// Guards against a delay that is invented where nothing is known.
#[test]
fn nothing_is_promised_before_a_service_time_is_known() {
    let mut queue = PoolQueue::<()>::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let now = Tick(0);
    let promise = queue.promise(Fingerprint(1), &request(now), &load(1, 10), now, &mut rng);
    assert_eq!(promise, None);
}

/// Guards against unbounded memory when a burst of callers is refused.
#[test]
fn the_number_of_promises_is_bounded() {
    let (mut queue, now) = steady_queue(2_000);
    let mut rng = SmallRng::seed_from_u64(7);
    let load = load(1, 2_000);
    for n in 0..3_000 {
        queue.promise(Fingerprint(n), &request(now), &load, now, &mut rng);
    }
    assert_eq!(queue.told_to_return(now), MAX_PROMISES);
    assert_eq!(queue.told_to_return(now.after(Millis(2_800))), 0);
}

/// Guards against callers that return as told and are refused again in favor of new
/// ones, and against a preference for those that return earlier or later.
#[test]
fn a_caller_that_returns_as_told_is_recognized_once() {
    let (mut queue, now) = steady_queue(10);
    let mut rng = SmallRng::seed_from_u64(7);
    let load = load(1, 10);
    let mut told = |queue: &mut PoolQueue<()>, caller| {
        let delay = queue.promise(Fingerprint(caller), &request(now), &load, now, &mut rng);
        now.after(delay.expect("known"))
    };
    let late_by = |told: Tick, by: u64| told.after(Millis(2 * PROMISE_INTERVAL.0 + by));
    let (early, due, late) = (told(&mut queue, 1), told(&mut queue, 2), told(&mut queue, 3));
    let mut redeem = |caller, at| queue.redeem_promise(Fingerprint(caller), at);
    assert_eq!(redeem(1, Tick(early.0 - 1)), CallerReturn::Early);
    assert_eq!(redeem(1, early), CallerReturn::AsTold, "the early one returns again");
    assert_eq!(redeem(1, early), CallerReturn::New, "a promise holds once");
    assert_eq!(redeem(2, late_by(due, 0)), CallerReturn::AsTold);
    assert_eq!(redeem(3, late_by(late, 1)), CallerReturn::New, "late");
    assert_eq!(redeem(4, due), CallerReturn::New, "never told to return");
}

/// Guards against a second refusal of a caller that returned as told.
#[test]
fn a_returned_caller_waits_where_a_new_one_is_refused() {
    let (mut queue, now) = steady_queue(1);
    let load = load(1, 1);
    let new = request(now);
    let returned = PoolRequest { returned: CallerReturn::AsTold, ..new };
    assert!(matches!(queue.offer(new, (), &load, now), PoolDecision::Refused(_)));
    let PoolDecision::Queued { until, .. } = queue.offer(returned, (), &load, now) else {
        panic!("refused although it returned as told");
    };
    assert_eq!(until, now.after(Millis(600)), "as long as its target can be met");
}

/// Guards against callers that are taken for early ones because they wait only for a
/// third of their remaining time.
#[test]
fn a_caller_that_cannot_wait_as_long_as_told_is_a_new_one_when_it_returns() {
    let (mut queue, now) = steady_queue(1);
    let mut rng = SmallRng::seed_from_u64(7);
    let load = load(1, 1);
    let hurried = PoolRequest { deadline: now.after(Millis(1_800)), ..request(now) };
    let told = queue.promise(Fingerprint(1), &hurried, &load, now, &mut rng).expect("known");
    assert!(told > Millis(600), "a third of the remaining time: {told}");
    let at = |ms| now.after(Millis(ms));
    assert_eq!(queue.redeem_promise(Fingerprint(1), at(20)), CallerReturn::Early);
    assert_eq!(queue.redeem_promise(Fingerprint(1), at(595)), CallerReturn::New);
}

/// Guards against callers that gain a place in the queue by retrying often.
#[test]
fn an_early_caller_is_not_queued_while_slots_are_scarce() {
    let (mut queue, now) = steady_queue(10);
    let early = PoolRequest { returned: CallerReturn::Early, ..request(now) };
    let decision = queue.offer(early, (), &load(1, 10), now);
    assert_eq!(decision, PoolDecision::Refused(RefusalReason::NotDue));
    let half_free = PoolLoad { used: 4, ..load(1, 10) };
    assert!(matches!(queue.offer(early, (), &half_free, now), PoolDecision::Queued { .. }));
}
