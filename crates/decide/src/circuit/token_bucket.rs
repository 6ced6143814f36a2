//! Rate limit of calls.

use clementine_objects::Millis;

use crate::ids::Tick;

/// A token bucket; each call takes one token.
///
/// Invariant: `tokens <= burst`; negative only after [`Self::take`].
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Tick,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub const fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, tokens: burst, refilled_at: Tick(0) }
    }

    /// Takes a token if there is one.
    pub fn try_take(&mut self, now: Tick) -> bool {
        let allowed = self.has_token(now);
        if allowed {
            self.take(now);
        }
        allowed
    }

    /// Whether there is a token.
    pub fn has_token(&self, now: Tick) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Time until there is a token, or `None` if there will be none at this rate.
    pub fn time_to_token(&self, now: Tick) -> Option<Millis> {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return Some(Millis(0));
        }
        let possible = self.per_second > 0.0 && self.burst >= 1.0;
        possible.then(|| Millis((missing * 1_000.0 / self.per_second).ceil() as u64))
    }

    /// Takes a token, also if there is none. Later calls make up for it.
    pub fn take(&mut self, now: Tick) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Changes the rate and the burst. Tokens above the new burst are lost.
    pub fn set_rate(&mut self, per_second: f64, burst: f64, now: Tick) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn refill(&mut self, now: Tick) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn tokens_at(&self, now: Tick) -> f64 {
        let refill = now.since(self.refilled_at).0 as f64 / 1_000.0 * self.per_second;
        (self.tokens + refill).min(self.burst)
    }
}
