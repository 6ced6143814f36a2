//! Rate limit of calls.

use crate::ids::Tick;

/// A token bucket; each call takes one token.
///
/// Invariant: `0 <= tokens <= burst`.
#[derive(Debug)]
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
        let refill = now.since(self.refilled_at).0 as f64 / 1_000.0 * self.per_second;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
