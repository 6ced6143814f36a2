//! A budget of calls by time.

use crate::ids::Tick;

/// A token bucket of calls.
///
/// Invariant: `0 <= balance <= burst`.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    balance: f64,
    filled: Tick,
}

impl TokenBucket {
    /// A full budget.
    pub const fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, balance: burst, filled: Tick(0) }
    }

    /// Takes one call from the budget, if it holds one.
    pub fn try_take(&mut self, now: Tick) -> bool {
        let filled = now.since(self.filled).0 as f64 / 1_000.0 * self.per_second;
        self.balance = (self.balance + filled).min(self.burst);
        self.filled = now;
        let affordable = self.balance >= 1.0;
        if affordable {
            self.balance -= 1.0;
        }
        affordable
    }
}
