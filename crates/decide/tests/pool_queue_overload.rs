//! A wave of load of three times the capacity, with callers that return as told, that
//! retry immediately, and that do not return.

use std::collections::{BTreeMap, HashMap};

use clementine_decide::admission::{
    CallerReturn, PoolDecision, PoolLoad, PoolQueue, PoolRequest, QueueTicket,
};
use clementine_decide::ids::Tick;
use clementine_decide::quarantine::Fingerprint;
use clementine_objects::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: usize = 10;
const SERVICE_TIME: Millis = Millis(400);
const TARGET: Millis = Millis(600);
const DEADLINE: Millis = Millis(9_000);
/// Interval and number of the retries of callers that ignore `Retry-After`.
const IMPATIENT_INTERVAL: u64 = 20;
const IMPATIENT_RETRIES: u32 = 30;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Habit {
    ReturnsAsTold,
    RetriesImmediately,
    Leaves,
}

fn habit(caller: u128) -> Habit {
    match caller % 4 {
        0 | 1 => Habit::ReturnsAsTold,
        2 => Habit::RetriesImmediately,
        _ => Habit::Leaves,
    }
}

struct Replay {
    queue: PoolQueue<u128>,
    slots: usize,
    service_time: Millis,
    /// Ends of the runs in progress, by time.
    ends: BTreeMap<u64, usize>,
    running: usize,
    waiting: HashMap<u128, (QueueTicket, Tick, Tick)>,
    /// Returning callers by time, with the number of their refusals.
    returns: BTreeMap<u64, Vec<(u128, u32)>>,
    refusals: HashMap<u128, u32>,
    served: Vec<u128>,
    longest_wait: u64,
    refused_after_wait: usize,
    refused_at_once: usize,
}

impl Default for Replay {
    fn default() -> Self {
        Self {
            queue: PoolQueue::default(),
            slots: SLOTS,
            service_time: SERVICE_TIME,
            ends: BTreeMap::new(),
            running: 0,
            waiting: HashMap::new(),
            returns: BTreeMap::new(),
            refusals: HashMap::new(),
            served: Vec::new(),
            longest_wait: 0,
            refused_after_wait: 0,
            refused_at_once: 0,
        }
    }
}

impl Replay {
    fn load(&self) -> PoolLoad {
        let (used, slots) = (self.running as u32, self.slots as u32);
        PoolLoad { entries: 1, used, slots, ..PoolLoad::default() }
    }

    fn start(&mut self, caller: u128, now: Tick) {
        self.queue.record_start(1);
        self.running += 1;
        *self.ends.entry(now.after(self.service_time).0).or_default() += 1;
        self.served.push(caller);
    }

    fn end_runs(&mut self, now: Tick) {
        for _ in 0..self.ends.remove(&now.0).unwrap_or(0) {
            self.queue.record_end(Some(self.service_time), now);
            self.running -= 1;
            self.offer_freed(now);
        }
    }

    /// Offers freed slots to those who wait.
    fn offer_freed(&mut self, now: Tick) {
        self.queue.record_freed();
        while let Some(caller) = self.queue.next_ready(now).copied() {
            let found = self.running < self.slots;
            let (ticket, arrived, _) = self.waiting[&caller];
            self.queue.record_try(ticket, found);
            if found {
                self.waiting.remove(&caller);
                self.longest_wait = self.longest_wait.max(now.since(arrived).0);
                self.start(caller, now);
            }
        }
    }

    fn end_waits(&mut self, now: Tick, rng: &mut SmallRng) {
        let over = self.waiting.iter().filter(|(_, (_, _, until))| *until <= now);
        let over: Vec<u128> = over.map(|(caller, _)| *caller).collect();
        for caller in over {
            let (ticket, ..) = self.waiting.remove(&caller).expect("waits");
            self.queue.leave(ticket);
            self.refused_after_wait += 1;
            self.refuse(caller, now, rng);
        }
    }

    fn refuse(&mut self, caller: u128, now: Tick, rng: &mut SmallRng) {
        let refusals = self.refusals.entry(caller).or_default();
        *refusals += 1;
        let refusals = *refusals;
        let told = self.queue.promise(Fingerprint(caller), &request(now), &self.load(), now, rng);
        let told = told.unwrap_or(Millis(500));
        let delay = match habit(caller) {
            Habit::ReturnsAsTold if refusals == 1 => told.0,
            Habit::RetriesImmediately if refusals <= IMPATIENT_RETRIES => IMPATIENT_INTERVAL,
            _ => return,
        };
        self.returns.entry(now.0 + delay).or_default().push((caller, refusals));
    }

    fn arrive(&mut self, caller: u128, now: Tick, rng: &mut SmallRng) {
        let returned = self.queue.redeem_promise(Fingerprint(caller), now);
        let request = PoolRequest { returned, ..request(now) };
        if self.running < self.slots && self.queue.may_try(&request, now) {
            self.queue.forget_promise(Fingerprint(caller));
            return self.start(caller, now);
        }
        let load = self.load();
        match self.queue.offer(request, caller, &load, now) {
            PoolDecision::Queued { ticket, until, displaced } => {
                assert_eq!(displaced, None, "the queue is long enough");
                self.waiting.insert(caller, (ticket, now, until));
            }
            PoolDecision::Refused(_) => {
                self.refused_at_once += 1;
                self.refuse(caller, now, rng);
            }
        }
    }

    fn served_share(&self, wanted: Habit, callers: u128) -> f64 {
        let of = |caller: &u128| habit(*caller) == wanted;
        let all = (0..callers).filter(of).count();
        self.served.iter().filter(|caller| of(caller)).count() as f64 / all as f64
    }
}

fn request(now: Tick) -> PoolRequest {
    PoolRequest {
        begun: false,
        level: 1,
        returned: CallerReturn::New,
        over_share: false,
        arrived: now,
        target: TARGET,
        deadline: now.after(DEADLINE),
    }
}

/// Guards against idle slots while requests wait, requests that are held without being
/// served, starts that miss the target, and an advantage of immediate retries.
#[test]
fn overload_keeps_all_slots_busy_and_serves_those_who_return_as_told() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut replay = Replay::default();
    let mut callers = 0;
    let mut busy = 0_usize;
    for ms in 0..12_000_u64 {
        let now = Tick(ms);
        replay.end_runs(now);
        replay.end_waits(now, &mut rng);
        for (caller, _) in replay.returns.remove(&ms).unwrap_or_default() {
            replay.arrive(caller, now, &mut rng);
        }
        let overload = (3_000..9_000).contains(&ms);
        // 20 requests a second, and 75 in the wave; 25 are the capacity.
        if ms % (if overload { 13 } else { 50 }) == 0 {
            replay.arrive(callers, now, &mut rng);
            callers += 1;
        }
        assert!(replay.waiting.is_empty() || replay.running == SLOTS, "idle slot at {ms}");
        if overload && ms >= 3_500 {
            busy += replay.running;
        }
        if ms == 2_900 {
            assert_eq!(replay.refusals.len(), 0, "with room for all, nobody is refused");
            assert_eq!(replay.longest_wait, 0, "with room for all, nobody waits");
        }
    }
    assert!(busy as f64 >= 0.99 * (5_500 * SLOTS) as f64, "slots are idle in the wave");
    assert!(replay.longest_wait <= TARGET.0, "{} ms", replay.longest_wait);
    let (held, at_once) = (replay.refused_after_wait, replay.refused_at_once);
    assert!(held * 4 <= at_once, "{held} refused after a wait, {at_once} at once");
    let as_told = replay.served_share(Habit::ReturnsAsTold, callers);
    let immediately = replay.served_share(Habit::RetriesImmediately, callers);
    let leaves = replay.served_share(Habit::Leaves, callers);
    println!(
        "served: {as_told:.2} as told, {immediately:.2} immediately, {leaves:.2} never back; refused: {held} after a wait, {at_once} at once"
    );
    assert!(as_told >= immediately, "{as_told:.2} as told, {immediately:.2} immediately");
    assert!(as_told > leaves, "{as_told:.2} as told, {leaves:.2} never back");
}

/// Guards against a queue that keeps to the pace of the time in which servers were lost,
/// and against waits beyond the target while those that are back are slow.
#[test]
fn half_of_the_servers_are_back_cold_and_serve_those_who_wait() {
    /// Service time of cold servers.
    const COLD: Millis = Millis(600);
    const LOST: u64 = 3_000;
    const BACK: u64 = 6_000;
    const WARM: u64 = 8_000;
    let mut rng = SmallRng::seed_from_u64(12);
    let mut replay = Replay::default();
    let mut callers = 0;
    for ms in 0..14_000_u64 {
        let now = Tick(ms);
        match ms {
            LOST => replay.slots = SLOTS / 2,
            BACK => {
                (replay.slots, replay.service_time) = (SLOTS, COLD);
                replay.offer_freed(now);
            }
            WARM => replay.service_time = SERVICE_TIME,
            _ => {}
        }
        replay.end_runs(now);
        replay.end_waits(now, &mut rng);
        for (caller, _) in replay.returns.remove(&ms).unwrap_or_default() {
            replay.arrive(caller, now, &mut rng);
        }
        // 20 requests a second; 25 are the capacity, 12 with half of the servers.
        if ms % 50 == 0 {
            replay.arrive(callers, now, &mut rng);
            callers += 1;
        }
        assert!(replay.waiting.is_empty() || replay.running >= replay.slots, "idle slot at {ms}");
    }
    assert!(replay.longest_wait <= TARGET.0, "{} ms", replay.longest_wait);
    // Callers whose first request came 1 s after the servers were warm, or later.
    let late = u128::from((WARM + 1_000).div_ceil(50))..callers;
    let refused = late.filter(|caller| replay.refusals.contains_key(caller)).count();
    assert_eq!(refused, 0, "refused though there is room for all");
}
