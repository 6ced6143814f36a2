//! Number of entries that share a sum.

use clementine_objects::Millis;

use crate::ids::Tick;

/// Time for which fewer entries must be known until the count shrinks. Longer than an
/// entry is down, frozen or cut off before its machine is replaced.
const SHRINK_TIME: Millis = Millis(10 * 60_000);

/// Number of entries that share a sum, such as a budget or a server's limit.
///
/// An entry that is not heard at the moment still counts: it may be cut off and use its
/// share, or have used it shortly before it was killed. The count therefore grows at once
/// and shrinks late, and not while most of the others are not heard, because this entry
/// may be the one that is cut off.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryCount {
    count: usize,
    /// When at least `count` entries were last known.
    last_known_at: Tick,
}

impl EntryCount {
    /// Records the number of entries that are known, including this one.
    pub fn observe(&mut self, known: usize, now: Tick) {
        let has_shrunk = now.since(self.last_known_at) >= SHRINK_TIME && 2 * known > self.count;
        if known >= self.count || has_shrunk {
            self.count = known;
            self.last_known_at = now;
        }
    }

    /// Number of entries to count, including this one; 0 until any is known.
    pub const fn get(&self) -> usize {
        self.count
    }
}
