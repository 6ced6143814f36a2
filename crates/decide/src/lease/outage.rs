//! Detects whether the store is unavailable to all processes or only to one.

use clementine_objects::Millis;

use crate::ids::{StoreVersion, Tick};

/// Time until a version that one process has read from the store is known to
/// all others: readers batch changes, and each process sends the newest version
/// that it knows in periodic messages.
const PROPAGATION_TIME: Millis = Millis(2_000);

/// An outage of the store, as one process sees it.
#[derive(Debug, Clone, Copy)]
pub struct StoreOutage {
    since: Tick,
    /// Newest version that any process may have read before the outage.
    baseline: StoreVersion,
}

impl StoreOutage {
    /// Starts an outage at `now`, with the newest version known so far.
    pub const fn new(newest: StoreVersion, now: Tick) -> Self {
        Self { since: now, baseline: newest }
    }

    /// Takes the newest version known to any process and returns whether another
    /// process has read it from the store since the outage began.
    ///
    /// Versions that arrive within the propagation time may have been read before
    /// the outage and raise the baseline.
    pub fn others_reach_store(&mut self, newest: StoreVersion, now: Tick) -> bool {
        if now.since(self.since) < PROPAGATION_TIME {
            self.baseline = self.baseline.max(newest);
        }
        newest > self.baseline
    }
}
