//! One process's view of the lease.

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use super::LeaseQuorum;
use crate::ids::{EntryId, IncarnationId, Tick};

/// Time for which a holder goes on after each renewal that the store did not
/// answer: longer than the next one takes to fail.
const GO_ON_FOR: Millis = Millis(3_000);

/// Content of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseRow {
    /// Process that holds the lease; absent after it was given back.
    pub holder: Option<LeaseHolder>,
    /// Number of the term, which grows with each new holder.
    pub term: u64,
}

/// Process that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the process.
    pub entry: EntryId,
    /// Start of the process; a process that has started again holds nothing.
    pub incarnation: IncarnationId,
}

/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseLimits {
    /// Time without a renewal after which another process may take over.
    pub time_to_live: Millis,
    /// Time after a renewal for which the holder may act. Shorter than the
    /// time to live by more than clocks drift in that time.
    pub valid_for: Millis,
}

impl Default for LeaseLimits {
    fn default() -> Self {
        Self { time_to_live: Millis(3_500), valid_for: Millis(2_800) }
    }
}

/// What to do with the row next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Write this row if its version is still the given one.
    Write {
        /// Version of the row that was read; 0 for none.
        version: u64,
        /// The new row.
        row: LeaseRow,
    },
    /// Read the row again later.
    Wait,
}

/// One process's view of the lease.
#[derive(Debug)]
pub struct LeaseState {
    limits: LeaseLimits,
    me: LeaseHolder,
    /// Version of the row that was last seen, and since when.
    seen: Option<(u64, Tick)>,
    /// Term that is held, and until when the holder may act.
    held: Option<(u64, Tick)>,
}

impl LeaseState {
    /// A view of a process that holds nothing.
    pub const fn new(limits: LeaseLimits, entry: EntryId, incarnation: IncarnationId) -> Self {
        Self { limits, me: LeaseHolder { entry, incarnation }, seen: None, held: None }
    }

    /// The term in which this process may act now.
    pub fn term(&self, now: Tick) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(term, _)| term)
    }

    /// Notes that the holder itself said that it has written a version of the
    /// row. What was heard counts as seen: a lapsed lease then passes on so
    /// much sooner.
    pub fn record_announcement(&mut self, version: u64, now: Tick) {
        if self.seen.is_none_or(|(seen, _)| version > seen) {
            self.seen = Some((version, now));
        }
    }

    /// Version of the row with which this process holds the lease.
    pub fn held_version(&self, now: Tick) -> Option<u64> {
        self.term(now)?;
        self.seen.map(|(version, _)| version)
    }

    /// The renewal of a lease that is held, which needs no reading before.
    pub fn renewal(&self, now: Tick) -> Option<LeaseStep> {
        let term = self.term(now)?;
        let (version, _) = self.seen?;
        Some(self.write(version, term))
    }

    /// Goes on without a renewal, which the store did not answer, as long as the
    /// others follow. The row stays as it is meanwhile: whoever hears the holder
    /// does not take it.
    pub fn extend(&mut self, audience: LeaseQuorum, now: Tick) {
        let Some((term, until)) = self.held else { return };
        if now < until && audience.allows_extension() {
            self.held = Some((term, until.max(now.after(GO_ON_FOR))));
        }
    }

    /// Notes that the row is not as this process last saw it.
    pub const fn record_conflict(&mut self) {
        self.held = None;
    }

    /// Takes in the row as it was read, or that there is none.
    pub fn record_read(&mut self, read: Option<(u64, &LeaseRow)>, now: Tick) -> LeaseStep {
        let Some((version, row)) = read else {
            return self.write(0, 1);
        };
        let unchanged_since = match self.seen {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.seen = Some((version, unchanged_since));
        match &row.holder {
            Some(holder) if *holder == self.me => self.write(version, row.term),
            None => self.write(version, row.term + 1),
            // An earlier start of this process, which is over.
            Some(holder) if holder.entry == self.me.entry => self.write(version, row.term + 1),
            Some(_) if now.since(unchanged_since) >= self.limits.time_to_live => {
                self.write(version, row.term + 1)
            }
            Some(_) => {
                self.held = None;
                LeaseStep::Wait
            }
        }
    }

    fn write(&self, version: u64, term: u64) -> LeaseStep {
        LeaseStep::Write { version, row: LeaseRow { holder: Some(self.me.clone()), term } }
    }

    /// Notes that a row which this process wrote is in force, and when the
    /// write was sent.
    pub fn record_write(&mut self, version: u64, term: u64, sent: Tick) {
        self.seen = Some((version, sent));
        self.held = Some((term, sent.after(self.limits.valid_for)));
    }

    /// Gives the lease back: the row to write, if it is held.
    pub fn release(&mut self, now: Tick) -> Option<(u64, LeaseRow)> {
        let term = self.term(now)?;
        self.held = None;
        let (version, _) = self.seen?;
        Some((version, LeaseRow { holder: None, term }))
    }
}
