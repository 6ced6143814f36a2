//! Slots promised to callers that were refused and told when to return.

use clementine_objects::Millis;
use rand::{Rng, RngExt};

use super::CallerReturn;
use crate::ids::Tick;
use crate::quarantine::Fingerprint;

/// Length of the intervals in which slots are promised. Callers return at a random
/// time within theirs.
pub const PROMISE_INTERVAL: Millis = Millis(100);
/// Least time after which a caller is told to return.
const MIN_RETRY_AFTER: Millis = Millis(50);
/// Longest time after which a caller is told to return.
const MAX_RETRY_AFTER: Millis = Millis(2_500);
/// Time after that at which a caller was told to return for which its promise holds.
const PROMISE_RETENTION: Millis = Millis(2 * PROMISE_INTERVAL.0);
/// Maximum number of callers of a pool that an entry has told to return: 400 per second.
pub const MAX_PROMISES: usize = 1_024;

/// What a refused caller was told.
#[derive(Debug, Clone, Copy)]
struct Promise {
    caller: Fingerprint,
    /// When the caller should return, as far as it waits so long.
    told: Tick,
    /// Whether a slot is promised to it. None is expected for the others within the
    /// time that they wait; they are known only in order to tell when they return
    /// early.
    has_slot: bool,
    /// Number of times that the caller was refused again before it was due.
    repeats: u32,
}

/// Refused callers that an entry has told to return, and the slots promised to them.
///
/// Invariant: at most [`MAX_PROMISES`] callers (32 bytes each), each of them for at most
/// [`MAX_RETRY_AFTER`] and [`PROMISE_RETENTION`].
#[derive(Debug, Clone, Default)]
pub(super) struct Promises {
    promises: Vec<Promise>,
}

impl Promises {
    /// Number of callers that were told to return and may still do so.
    pub(super) fn len(&mut self, now: Tick) -> usize {
        self.promises.retain(|promise| now <= promise.told.after(PROMISE_RETENTION));
        self.promises.len()
    }

    /// Number of slots promised to callers that were told to return by a time.
    pub(super) fn due_by(&self, time: Tick, now: Tick) -> usize {
        let slots = self.promises.iter().filter(|promise| promise.has_slot);
        let holding = slots.filter(|promise| now <= promise.told.after(PROMISE_RETENTION));
        holding.filter(|promise| promise.told <= time).count()
    }

    /// Number of promised slots behind which a refused caller is told to return. A
    /// caller that is not due yet has at most one promise, and is told a later time with each
    /// refusal: it may also be another one that sends the same request.
    pub(super) fn slots_ahead(&mut self, caller: Fingerprint, now: Tick) -> usize {
        self.promises.retain(|promise| promise.caller != caller || promise.told > now);
        self.len(now);
        let ahead = self.promises.iter().filter(|promise| promise.has_slot).count();
        let Some(promise) = self.of(caller) else { return ahead };
        promise.repeats += 1;
        ahead + (promise.repeats as usize).saturating_sub(usize::from(promise.has_slot))
    }

    fn of(&mut self, caller: Fingerprint) -> Option<&mut Promise> {
        self.promises.iter_mut().find(|promise| promise.caller == caller)
    }

    /// Promises a caller a slot that is expected after `wait`, and returns the time
    /// after which it should return. A caller that will not wait for that, because it
    /// waits for `max_wait` at most, gets no promise.
    pub(super) fn add(
        &mut self,
        caller: Fingerprint,
        wait: Millis,
        max_wait: Millis,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Millis {
        let jitter = Millis(rng.random_range(0..PROMISE_INTERVAL.0));
        let expected = now.after(wait);
        let interval = Tick(expected.0 - expected.0 % PROMISE_INTERVAL.0);
        let delay = interval.after(jitter).since(now).max(MIN_RETRY_AFTER);
        let has_slot = delay <= MAX_RETRY_AFTER && delay <= max_wait;
        let delay =
            if delay > MAX_RETRY_AFTER { Millis(MAX_RETRY_AFTER.0 - jitter.0) } else { delay };
        // A caller that does not wait so long measures its time itself, so that it may
        // return a little before `max_wait`.
        let latest = Millis(max_wait.0.saturating_sub(PROMISE_INTERVAL.0));
        let due = if has_slot { delay } else { delay.min(latest) };
        self.set(caller, now.after(due), has_slot);
        delay
    }

    fn set(&mut self, caller: Fingerprint, told: Tick, has_slot: bool) {
        let repeats = self.of(caller).map_or(0, |promise| promise.repeats);
        self.remove(caller);
        if self.promises.len() < MAX_PROMISES {
            self.promises.push(Promise { caller, told, has_slot, repeats });
        }
    }

    /// Whether a caller returns when it was told to. The promise ends unless the
    /// caller is not due yet.
    pub(super) fn redeem(&mut self, caller: Fingerprint, returned: Tick) -> CallerReturn {
        let Some(promise) = self.of(caller).copied() else { return CallerReturn::New };
        if returned < promise.told {
            return CallerReturn::Early;
        }
        self.remove(caller);
        let in_time = returned <= promise.told.after(PROMISE_RETENTION);
        if promise.has_slot && in_time { CallerReturn::AsTold } else { CallerReturn::New }
    }

    /// Takes back the promise to a caller.
    pub(super) fn remove(&mut self, caller: Fingerprint) {
        self.promises.retain(|promise| promise.caller != caller);
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }
}
