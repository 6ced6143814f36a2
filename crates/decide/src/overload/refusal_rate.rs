//! Load against what there is room for.

use clementine_objects::Millis;
use rand::{Rng, RngExt};

use crate::ids::Tick;

/// Part of a request's target time for which it may wait for room. Longer, and
/// a refused caller has no time left to be served on time elsewhere.
const WAIT_PART: u64 = 8;
/// Pause between two looks for room.
pub const CAPACITY_POLL_INTERVAL: Millis = Millis(15);
/// Time over which refusals are averaged.
const WINDOW: Millis = Millis(2_000);
/// When to come back if hardly any request is refused: room comes with the
/// next requests that end.
const SHORTEST_PAUSE: f64 = 150.0;
/// When to come back if most are refused: what is missing then is engines, and
/// their repair takes some seconds.
const LONGEST_PAUSE: f64 = 2_500.0;
/// Part by which pauses are spread, so that callers do not come back together.
const SPREAD: f64 = 0.35;

/// Longest time for which a request waits for room.
pub const fn max_capacity_wait(target: Millis) -> Millis {
    Millis(target.0 / WAIT_PART)
}

/// Share of the requests for which there was no room lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusalRate {
    /// Weights of the requests and of the refused ones among them.
    requests: f64,
    refused: f64,
    at: Tick,
}

impl RefusalRate {
    /// Notes whether there was room for a request.
    pub fn record(&mut self, had_room: bool, now: Tick) {
        let passed = now.since(self.at).0 as f64 / WINDOW.0 as f64;
        let kept = (-passed).exp();
        self.requests = self.requests * kept + 1.0;
        self.refused = self.refused * kept + f64::from(u8::from(!had_room));
        self.at = now;
    }

    /// Share of the requests for which there was no room, from 0 to 1.
    pub fn refused_share(&self) -> f64 {
        if self.requests > 0.0 { self.refused / self.requests } else { 0.0 }
    }

    /// When a caller that is refused now may come back.
    pub fn retry_after(&self, rng: &mut impl Rng) -> Millis {
        let pause = SHORTEST_PAUSE + (LONGEST_PAUSE - SHORTEST_PAUSE) * self.refused_share();
        Millis((pause * rng.random_range(1.0 - SPREAD..1.0 + SPREAD)) as u64)
    }
}
