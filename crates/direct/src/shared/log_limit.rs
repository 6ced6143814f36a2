//! Limit on log lines of one kind.

use std::cell::Cell;

use clementine_decide::ids::Tick;
use clementine_objects::Millis;

/// Minimum interval between two lines.
const INTERVAL: Millis = Millis(500);

/// Admits at most one log line per [`INTERVAL`] and counts those held back.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    last: Cell<Option<Tick>>,
    held_back: Cell<u64>,
}

impl LogLimit {
    /// Returns the number of lines held back since the last one if a line may be
    /// logged now. Otherwise the line counts as held back.
    pub(crate) fn admit(&self, now: Tick) -> Option<u64> {
        if self.last.get().is_some_and(|last| now.since(last) < INTERVAL) {
            self.held_back.set(self.held_back.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.held_back.take())
    }
}
