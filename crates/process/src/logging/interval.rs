//! Limit of the rate of a log line.

use std::cell::Cell;

use clementine_decide::ids::Tick;
use clementine_objects::Millis;

/// Admits one log line per interval and counts those in between.
#[derive(Debug, Default)]
pub struct LogInterval {
    logged_at: Cell<Option<Tick>>,
    suppressed: Cell<u64>,
}

impl LogInterval {
    /// Returns the number of lines suppressed since the last one if another line may
    /// be logged now.
    pub fn admit(&self, now: Tick, interval: Millis) -> Option<u64> {
        if self.logged_at.get().is_some_and(|at| now.since(at) < interval) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.logged_at.set(Some(now));
        Some(self.suppressed.take())
    }
}
