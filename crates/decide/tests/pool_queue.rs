//! The queue for capacity of a pool: order, wake-up, refusal and bounds.

use std::collections::HashMap;
use std::time::Instant;

use clementine_decide::admission::{
    CallerReturn, MAX_WAITING, PoolDecision, PoolLoad, PoolQueue, PoolRequest, QueueTicket,
    RefusalReason, ReturningSlots,
};
use clementine_decide::ids::Tick;
use clementine_objects::Millis;

const SERVICE_TIME: Millis = Millis(1_000);

fn request(arrived: u64) -> PoolRequest {
    PoolRequest {
        begun: false,
        level: 1,
        returned: CallerReturn::New,
        over_share: false,
        arrived: Tick(arrived),
        target: Millis(600),
        deadline: Tick(arrived + 8_000),
    }
}

/// Load of a pool with all slots in use, which no other entry uses.
fn full_load() -> PoolLoad {
    PoolLoad { entries: 1, used: 100, slots: 100, ..PoolLoad::default() }
}

/// A queue that has seen `running` runs of [`SERVICE_TIME`] end evenly, and has as
/// many in progress.
fn steady_queue(running: u32) -> (PoolQueue<&'static str>, Tick) {
    let mut queue = PoolQueue::default();
    for _ in 0..running {
        queue.record_start(1);
    }
    let mut now = Tick(0);
    let ends = 10 * running;
    for n in 1..=ends {
        now = Tick(SERVICE_TIME.0 * u64::from(n) / u64::from(running));
        queue.record_end(Some(SERVICE_TIME), now);
        queue.record_start(1);
    }
    (queue, now)
}

fn queued<T>(decision: &PoolDecision<T>) -> (QueueTicket, Tick) {
    match decision {
        PoolDecision::Queued { ticket, until, .. } => (*ticket, *until),
        PoolDecision::Refused(reason) => panic!("refused: {reason:?}"),
    }
}

/// Offers requests to a queue that knows nothing of the capacity.
fn queue_of(requests: &[(&'static str, PoolRequest)]) -> PoolQueue<&'static str> {
    let mut queue = PoolQueue::default();
    for (name, request) in requests {
        queued(&queue.offer(*request, *name, &full_load(), Tick(0)));
    }
    queue
}

/// Order in which freed slots serve the waiting requests.
fn served(queue: &mut PoolQueue<&'static str>, tickets: &Tickets, now: Tick) -> Vec<&'static str> {
    let mut order = Vec::new();
    queue.record_freed();
    while let Some(name) = queue.next_ready(now).copied() {
        queue.record_try(tickets[name], true);
        order.push(name);
    }
    order
}

type Tickets = HashMap<&'static str, QueueTicket>;

fn offer_all(requests: &[(&'static str, PoolRequest)]) -> (PoolQueue<&'static str>, Tickets) {
    let mut queue = PoolQueue::default();
    let mut tickets = HashMap::new();
    for (name, request) in requests {
        let (ticket, _) = queued(&queue.offer(*request, *name, &full_load(), Tick(0)));
        tickets.insert(*name, ticket);
    }
    (queue, tickets)
}

/// Guards against serving whichever request happens to ask at the right moment.
#[test]
fn requests_are_served_by_begun_level_return_share_latest_start_deadline_and_arrival() {
    let base = request(0);
    let requests = [
        ("over share", PoolRequest { over_share: true, target: Millis(500), ..base }),
        ("low", PoolRequest { level: 2, target: Millis(300), ..base }),
        ("later target", PoolRequest { target: Millis(900), ..base }),
        ("later deadline", PoolRequest { deadline: Tick(9_000), ..base }),
        ("first", base),
        ("second", base),
        (
            "returned",
            PoolRequest { returned: CallerReturn::AsTold, over_share: true, ..request(20) },
        ),
        ("early", PoolRequest { returned: CallerReturn::Early, target: Millis(300), ..base }),
        ("begun", PoolRequest { begun: true, level: 9, ..base }),
        ("high", PoolRequest { level: 0, target: Millis(2_000), ..base }),
    ];
    let (mut queue, tickets) = offer_all(&requests);
    assert_eq!(
        served(&mut queue, &tickets, Tick(0)),
        [
            "begun",
            "high",
            "returned",
            "first",
            "second",
            "later deadline",
            "later target",
            "over share",
            "early",
            "low"
        ]
    );
}

/// Guards against workspaces over their share that take slots from others by waiting,
/// and against refusals of streams that have begun or callers that return as told.
#[test]
fn a_request_over_its_share_waits_only_if_it_has_begun_or_returned() {
    let over = PoolRequest { over_share: true, ..request(0) };
    assert!(!over.may_wait());
    assert!(PoolRequest { begun: true, ..over }.may_wait());
    assert!(PoolRequest { returned: CallerReturn::AsTold, ..over }.may_wait());
    assert!(request(0).may_wait());
}

/// Guards against starvation of low levels by a constant load of high ones.
#[test]
fn a_wait_of_two_seconds_outweighs_a_level() {
    let low = PoolRequest { level: 2, target: Millis(10_000), ..request(0) };
    let high = PoolRequest { level: 1, target: Millis(10_000), ..request(1_999) };
    let requests = [("low", low), ("high", high)];
    let (mut queue, tickets) = offer_all(&requests);
    assert_eq!(served(&mut queue, &tickets, Tick(1_999)), ["high", "low"]);
    let (mut queue, tickets) = offer_all(&requests);
    assert_eq!(served(&mut queue, &tickets, Tick(2_000)), ["low", "high"]);
}

/// Guards against waking all requests for one slot: one tries at a time, and each
/// at most once per change of the capacity.
#[test]
fn a_freed_slot_wakes_one_request_at_a_time() {
    let (mut queue, tickets) = offer_all(&[("large", request(0)), ("small", request(1))]);
    assert_eq!(queue.next_ready(Tick(10)), None, "nothing has been freed");
    queue.record_freed();
    assert_eq!(queue.next_ready(Tick(10)), Some(&"large"));
    assert_eq!(queue.next_ready(Tick(10)), None, "one request tries at a time");
    queue.record_try(tickets["large"], false);
    assert_eq!(queue.next_ready(Tick(10)), Some(&"small"), "a smaller request may fit");
    queue.record_try(tickets["small"], false);
    assert_eq!(queue.next_ready(Tick(10)), None, "both have tried");
    queue.record_freed();
    assert_eq!(queue.next_ready(Tick(20)), Some(&"large"));
}

/// Guards against a lost wake-up when the caller of the woken request leaves.
#[test]
fn the_turn_of_a_request_that_leaves_passes_to_the_next() {
    let (mut queue, tickets) = offer_all(&[("leaves", request(0)), ("stays", request(1))]);
    queue.record_freed();
    assert_eq!(queue.next_ready(Tick(10)), Some(&"leaves"));
    assert_eq!(queue.leave(tickets["leaves"]), Some("leaves"));
    assert_eq!(queue.next_ready(Tick(10)), Some(&"stays"));
    assert_eq!(queue.len(), 1);
}

/// Guards against new requests that take the slot for which others are waiting.
#[test]
fn a_new_request_tries_only_after_those_that_go_before_it() {
    let (mut queue, tickets) = offer_all(&[("waits", request(0))]);
    let urgent = PoolRequest { level: 0, ..request(5) };
    assert!(queue.may_try(&request(5), Tick(5)), "the waiting one has tried in vain");
    queue.record_freed();
    assert!(!queue.may_try(&request(5), Tick(5)));
    assert!(queue.may_try(&urgent, Tick(5)));
    assert_eq!(queue.next_ready(Tick(5)), Some(&"waits"));
    queue.record_try(tickets["waits"], false);
    assert!(queue.may_try(&request(5), Tick(5)), "the waiting one has tried in vain");
}

/// Guards against a search that tries the whole queue for each freed slot.
#[test]
fn a_freed_slot_is_given_up_after_some_failed_tries() {
    let requests: Vec<_> = (0..100).map(|n| (&*format!("r{n}").leak(), request(n))).collect();
    let (mut queue, tickets) = offer_all(&requests);
    let mut tries = 0;
    queue.record_freed();
    while let Some(name) = queue.next_ready(Tick(100)).copied() {
        queue.record_try(tickets[name], false);
        tries += 1;
    }
    assert!((2..=10).contains(&tries), "{tries} tries");
}

/// Guards against requests that are held although they cannot be served in time.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    // One slot in 100 ms, so that six requests can start within the target of 600 ms.
    let (mut queue, now) = steady_queue(10);
    let mut decisions = Vec::new();
    for _ in 0..12 {
        let decision = queue.offer(request(now.0), "burst", &full_load(), now);
        decisions.push(matches!(decision, PoolDecision::Queued { .. }));
    }
    let queued = decisions.iter().filter(|queued| **queued).count();
    assert!(decisions.is_sorted_by(|a, b| a >= b), "{decisions:?}");
    assert!((5..=6).contains(&queued), "{queued} of 12 wait");
    let short = PoolRequest { deadline: now.after(Millis(50)), level: 0, ..request(now.0) };
    let decision = queue.offer(short, "short deadline", &full_load(), now);
    assert_eq!(decision, PoolDecision::Refused(RefusalReason::TooLate));
}

/// Guards against refusal of a request that arrives while capacity that has just grown
/// is being offered to those before it, for example when an engine is up again.
#[test]
fn a_request_is_not_refused_at_once_while_freed_capacity_is_offered() {
    let (mut queue, now) = steady_queue(2);
    let (first, _) = queued(&queue.offer(request(now.0), "first", &full_load(), now));
    let refused = queue.offer(request(now.0), "r", &full_load(), now);
    assert_eq!(refused, PoolDecision::Refused(RefusalReason::TooLate));
    queue.record_freed();
    assert_eq!(queue.next_ready(now), Some(&"first"));
    let (_, until) = queued(&queue.offer(request(now.0), "second", &full_load(), now));
    assert_eq!(until, now.after(Millis(75)));
    queue.record_try(first, true);
    assert_eq!(queue.next_ready(now), Some(&"second"));
}

/// Guards against a longer wait than before where nothing is known, and against
/// refusal of a request for which capacity is expected in time.
#[test]
fn the_wait_is_an_eighth_of_the_target_unless_capacity_is_expected_in_time() {
    let mut unknown = PoolQueue::default();
    let (_, until) = queued(&unknown.offer(request(0), "r", &full_load(), Tick(0)));
    assert_eq!(until, Tick(75));
    let (mut known, now) = steady_queue(10);
    known.record_first_response(Millis(100));
    let (_, until) = queued(&known.offer(request(now.0), "r", &full_load(), now));
    assert_eq!(until, now.after(Millis(500)), "the target less the time to the first event");
}

/// Guards against refusal at once while half of the slots are free, for example
/// because a layer has no engine for a moment.
#[test]
fn a_request_is_not_refused_at_once_while_half_of_the_slots_are_free() {
    let (mut queue, now) = steady_queue(1);
    let load = PoolLoad { used: 49, ..full_load() };
    let request = PoolRequest { target: Millis(500), ..request(now.0) };
    for _ in 0..3 {
        queued(&queue.offer(request, "r", &load, now));
    }
    let full = queue.offer(request, "r", &full_load(), now);
    assert_eq!(full, PoolDecision::Refused(RefusalReason::TooLate), "all slots are in use");
}

/// Guards against unbounded memory, and against a queue full of requests of low
/// priority.
#[test]
fn the_queue_is_bounded_and_urgent_requests_displace_others() {
    let mut queue = queue_of(&[]);
    for n in 0..MAX_WAITING as u64 {
        queued(&queue.offer(request(n), "waits", &full_load(), Tick(n)));
    }
    let now = Tick(MAX_WAITING as u64);
    let same = queue.offer(request(now.0), "same", &full_load(), now);
    assert_eq!(same, PoolDecision::Refused(RefusalReason::QueueFull));
    let urgent = PoolRequest { level: 0, ..request(now.0) };
    let decision = queue.offer(urgent, "urgent", &full_load(), now);
    assert!(matches!(decision, PoolDecision::Queued { displaced: Some("waits"), .. }));
    assert_eq!(queue.len(), MAX_WAITING);
}

/// Guards against waits that ignore servers which return at a known time.
#[test]
fn servers_that_return_at_a_known_time_count_as_capacity() {
    let returning = vec![ReturningSlots { after: Millis(200), slots: 2.0 }];
    let load = PoolLoad { entries: 1, returning, ..PoolLoad::default() };
    let mut queue = PoolQueue::default();
    assert_eq!(queue.expected_wait(&request(0), &load, Tick(0)), Some(Millis(200)));
    let (_, until) = queued(&queue.offer(request(0), "r", &load, Tick(0)));
    assert_eq!(until, Tick(600));
    queued(&queue.offer(request(0), "r", &load, Tick(0)));
    assert_eq!(queue.expected_wait(&request(0), &load, Tick(0)), None, "both slots are taken");
}

/// Guards against refusal because a server that returns late is all that is known of
/// a pool with other servers.
#[test]
fn a_server_that_returns_late_is_no_reason_to_refuse_while_others_are_up() {
    let returning = vec![ReturningSlots { after: Millis(5_000), slots: 2.0 }];
    let mut queue = PoolQueue::default();
    let up = PoolLoad { returning: returning.clone(), ..full_load() };
    let (_, until) = queued(&queue.offer(request(0), "r", &up, Tick(0)));
    assert_eq!(until, Tick(75));
    let down = PoolLoad { entries: 1, returning, ..PoolLoad::default() };
    let decision = PoolQueue::default().offer(request(0), "r", &down, Tick(0));
    assert_eq!(decision, PoolDecision::Refused(RefusalReason::TooLate));
}

/// Guards against entries that each count the whole pool's slots as their own.
#[test]
fn the_expected_wait_counts_the_requests_that_wait_at_other_entries() {
    let (mut queue, now) = steady_queue(10);
    let load = PoolLoad { entries: 10, in_flight_elsewhere: 90, ..full_load() };
    let first = queue.expected_wait(&request(now.0), &load, now).expect("known");
    queued(&queue.offer(request(now.0), "r", &load, now));
    let second = queue.expected_wait(&request(now.0), &load, now).expect("known");
    assert!(first <= Millis(15), "one of 100 slots per second: {first}");
    assert!((Millis(90)..=Millis(130)).contains(&second), "ten others wait: {second}");
}

/// Guards against decisions that delay a loaded entry. The bound is 50 us in an
/// optimized build; the test allows for one without optimization.
#[test]
fn a_decision_on_a_full_queue_is_fast() {
    let (mut queue, now) = steady_queue(100);
    while queue.len() < MAX_WAITING {
        let arrived = now.0 + queue.len() as u64 % 7;
        queued(&queue.offer(
            PoolRequest { begun: true, ..request(arrived) },
            "r",
            &full_load(),
            now,
        ));
    }
    let mut times = Vec::new();
    for _ in 0..101 {
        let started = Instant::now();
        let refused = queue.offer(request(now.0), "r", &full_load(), now);
        times.push(started.elapsed());
        assert!(matches!(refused, PoolDecision::Refused(_)));
    }
    times.sort();
    assert!(times[50].as_micros() < 500, "{:?}", times[50]);
}
