//! Slots promised to callers that were refused and told when to return.

use clementine_objects::Millis;
use rand::{Rng, RngExt};

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
/// Maximum number of promises of an entry for a pool: 400 slots per second.
pub const MAX_PROMISES: usize = 1_024;

/// A slot promised to a caller.
#[derive(Debug, Clone, Copy)]
struct Promise {
    caller: Fingerprint,
    /// When the caller was told to return.
    told: Tick,
    /// Number of times that the caller was refused again before it was due.
    repeats: u32,
}

/// Slots that an entry has promised.
///
/// Invariant: at most [`MAX_PROMISES`] promises (32 bytes each), of which each ends
/// within [`MAX_RETRY_AFTER`] and [`PROMISE_RETENTION`].
#[derive(Debug, Clone, Default)]
pub(super) struct Promises {
    promises: Vec<Promise>,
}

impl Promises {
    /// Number of promises that hold.
    pub(super) fn len(&mut self, now: Tick) -> usize {
        self.promises.retain(|promise| now <= promise.told.after(PROMISE_RETENTION));
        self.promises.len()
    }

    /// Number of callers that were told to return by a time and have not yet.
    pub(super) fn due_by(&self, time: Tick, now: Tick) -> usize {
        let holding = |promise: &&Promise| now <= promise.told.after(PROMISE_RETENTION);
        self.promises.iter().filter(holding).filter(|promise| promise.told <= time).count()
    }

    /// Number of slots behind which a refused caller is told to return. A caller that
    /// is not due yet keeps its one promise, but is told a later time with each
    /// refusal: it may also be another one that sends the same request.
    pub(super) fn slots_ahead(&mut self, caller: Fingerprint, now: Tick) -> usize {
        self.promises.retain(|promise| promise.caller != caller || promise.told > now);
        let ahead = self.len(now);
        let Some(promise) = self.of(caller) else { return ahead };
        promise.repeats += 1;
        ahead + promise.repeats as usize - 1
    }

    fn of(&mut self, caller: Fingerprint) -> Option<&mut Promise> {
        self.promises.iter_mut().find(|promise| promise.caller == caller)
    }

    /// Promises a caller a slot that is expected after `wait`, and returns the time
    /// after which it should return. A caller that returns earlier than that, because
    /// it waits for `max_wait` at most, gets no promise.
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
        if delay > MAX_RETRY_AFTER {
            return Millis(MAX_RETRY_AFTER.0 - jitter.0);
        }
        if delay <= max_wait {
            self.set(caller, now.after(delay));
        }
        delay
    }

    fn set(&mut self, caller: Fingerprint, told: Tick) {
        let has_room = self.promises.len() < MAX_PROMISES;
        match self.of(caller) {
            Some(promise) => promise.told = told,
            None if has_room => {
                self.promises.push(Promise { caller, told, repeats: 0 });
            }
            None => {}
        }
    }

    /// Takes the promise to a caller that has returned, and returns whether it has
    /// returned when it was told to. The promise to a caller that is not due yet is
    /// kept.
    pub(super) fn redeem(&mut self, caller: Fingerprint, returned: Tick) -> bool {
        let Some(told) = self.of(caller).map(|promise| promise.told) else { return false };
        if returned < told {
            return false;
        }
        self.remove(caller);
        returned <= told.after(PROMISE_RETENTION)
    }

    /// Takes back the promise to a caller.
    pub(super) fn remove(&mut self, caller: Fingerprint) {
        self.promises.retain(|promise| promise.caller != caller);
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }
}
