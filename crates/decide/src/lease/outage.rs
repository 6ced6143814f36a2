//! Whether a store is away for all, or for one process only.

use clementine_objects::Millis;

use crate::ids::Tick;

/// Time for what one process has read before an outage to be known to all: it
/// is gathered, and told in turns.
const NEWS_TRAVELS_FOR: Millis = Millis(1_500);

/// An outage of the store, as one process sees it.
#[derive(Debug, Clone, Copy)]
pub struct StoreOutage {
    since: Tick,
    /// Version of the newest change that any process knew soon after its
    /// beginning.
    known: u64,
}

impl StoreOutage {
    /// An outage that begins, with the version of the newest change known.
    pub const fn new(newest: u64, now: Tick) -> Self {
        Self { since: now, known: newest }
    }

    /// Takes in the newest change that any process knows; tells whether others
    /// have learned it from the store since the outage began.
    pub fn others_reach_store(&mut self, newest: u64, now: Tick) -> bool {
        if now.since(self.since) < NEWS_TRAVELS_FOR {
            self.known = self.known.max(newest);
        }
        newest > self.known
    }
}
