//! Share of requests refused for lack of capacity, and the retry delay derived
//! from it.

use clementine_objects::Millis;
use rand::{Rng, RngExt};

use crate::ids::Tick;

/// Divisor of a request's target time that gives the maximum wait for capacity.
/// After a longer wait, a refused caller has no time left to be served on time
/// elsewhere.
const TARGET_TO_WAIT_DIVISOR: u64 = 8;
/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Millis = Millis(2_000);
/// Retry delay in ms when almost no request is refused: capacity becomes free
/// as soon as the next requests end.
const MIN_RETRY_AFTER_MS: f64 = 150.0;
/// Retry delay in ms when almost all requests are refused: engines are missing
/// then, and replacing them takes some seconds.
const MAX_RETRY_AFTER_MS: f64 = 2_500.0;
/// Relative jitter of retry delays, so that callers do not retry
/// simultaneously.
const JITTER: f64 = 0.35;

/// Maximum time for which a request waits for capacity if it is not known when there
/// will be some.
pub const fn max_capacity_wait(target: Millis) -> Millis {
    Millis(target.0 / TARGET_TO_WAIT_DIVISOR)
}

/// Share of recent requests that were refused for lack of capacity, with
/// exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusalRate {
    /// Decayed number of all requests.
    requests: f64,
    /// Decayed number of refused requests.
    refused: f64,
    updated_at: Tick,
}

impl RefusalRate {
    /// Records a request and whether there was capacity for it.
    pub fn record(&mut self, had_capacity: bool, now: Tick) {
        let elapsed = now.since(self.updated_at).0 as f64 / DECAY_TIME.0 as f64;
        let decay = (-elapsed).exp();
        self.requests = self.requests * decay + 1.0;
        self.refused = self.refused * decay + f64::from(u8::from(!had_capacity));
        self.updated_at = now;
    }

    /// Share of refused requests, from 0 to 1.
    pub fn refused_share(&self) -> f64 {
        if self.requests > 0.0 { self.refused / self.requests } else { 0.0 }
    }

    /// Time after which a caller that is refused now may retry.
    pub fn retry_after(&self, rng: &mut impl Rng) -> Millis {
        let range = MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS;
        let delay = MIN_RETRY_AFTER_MS + range * self.refused_share();
        Millis((delay * rng.random_range(1.0 - JITTER..1.0 + JITTER)) as u64)
    }
}
