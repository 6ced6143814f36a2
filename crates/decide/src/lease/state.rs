//! Lease state of one process.

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use super::LeaseQuorum;
use crate::ids::{EntryId, IncarnationId, Tick};

/// Extension of the lease after a renewal to which the store did not respond.
/// Longer than the next renewal takes to fail.
const EXTENSION: Millis = Millis(3_000);

/// Content of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseRow {
    /// Process that holds the lease; `None` after it was released.
    pub holder: Option<LeaseHolder>,
    /// Term, incremented for each new holder.
    pub term: u64,
}

/// Process that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the process.
    pub entry: EntryId,
    /// Incarnation of the process. A restarted process does not hold the lease
    /// of its earlier incarnation.
    pub incarnation: IncarnationId,
}

/// Durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseLimits {
    /// Time without a renewal after which another process may take the lease.
    pub time_to_live: Millis,
    /// Time after a renewal was sent for which the holder may act. Shorter than
    /// `time_to_live` by more than the clock drift in that time.
    pub valid_for: Millis,
}

impl Default for LeaseLimits {
    fn default() -> Self {
        Self { time_to_live: Millis(3_500), valid_for: Millis(2_800) }
    }
}

/// Next operation on the lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Write this row if the stored version is still `version`.
    Write {
        /// Expected version of the row; 0 if there is no row.
        version: u64,
        /// The new row.
        row: LeaseRow,
    },
    /// Another process holds the lease: read the row again later.
    Wait,
}

/// Lease state of one process.
#[derive(Debug)]
pub struct LeaseState {
    limits: LeaseLimits,
    this_process: LeaseHolder,
    /// Last seen version of the row and the time at which it was first seen.
    seen: Option<(u64, Tick)>,
    /// Term of the held lease and the time until which the holder may act.
    held: Option<(u64, Tick)>,
}

impl LeaseState {
    /// Creates the state of a process that does not hold the lease.
    pub const fn new(limits: LeaseLimits, entry: EntryId, incarnation: IncarnationId) -> Self {
        Self { limits, this_process: LeaseHolder { entry, incarnation }, seen: None, held: None }
    }

    /// Term of the lease if this process holds it and may act now.
    pub fn term(&self, now: Tick) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(term, _)| term)
    }

    /// Records the version of the row that the holder announced in a message. The
    /// time to live of that version starts now, so an expired lease can be taken
    /// earlier than if the row had to be read first.
    pub fn record_announcement(&mut self, version: u64, now: Tick) {
        if self.seen.is_none_or(|(seen, _)| version > seen) {
            self.seen = Some((version, now));
        }
    }

    /// Version of the row if this process holds the lease.
    pub fn held_version(&self, now: Tick) -> Option<u64> {
        self.term(now)?;
        self.seen.map(|(version, _)| version)
    }

    /// Write that renews a held lease. The row does not have to be read first.
    pub fn renewal(&self, now: Tick) -> Option<LeaseStep> {
        let term = self.term(now)?;
        let (version, _) = self.seen?;
        Some(self.write(version, term))
    }

    /// Extends a held lease after a renewal to which the store did not respond, if
    /// the quorum allows it. The row is not changed: processes that receive the
    /// holder's messages do not take the lease.
    pub fn extend(&mut self, quorum: LeaseQuorum, now: Tick) {
        let Some((term, until)) = self.held else { return };
        if now < until && quorum.allows_extension() {
            self.held = Some((term, until.max(now.after(EXTENSION))));
        }
    }

    /// Records that a write failed because the row had changed: the lease is
    /// lost.
    pub const fn record_conflict(&mut self) {
        self.held = None;
    }

    /// Records the row as it was read, or `None` if there is no row, and returns
    /// the next operation.
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
            Some(holder) if *holder == self.this_process => self.write(version, row.term),
            None => self.write(version, row.term + 1),
            // An earlier incarnation of this process, which has ended.
            Some(holder) if holder.entry == self.this_process.entry => {
                self.write(version, row.term + 1)
            }
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
        LeaseStep::Write {
            version,
            row: LeaseRow { holder: Some(self.this_process.clone()), term },
        }
    }

    /// Records that this process has written the row. The validity counts from
    /// the time at which the write was sent.
    pub fn record_write(&mut self, version: u64, term: u64, sent: Tick) {
        self.seen = Some((version, sent));
        self.held = Some((term, sent.after(self.limits.valid_for)));
    }

    /// Releases the lease if it is held, and returns the row to write with its
    /// expected version.
    pub fn release(&mut self, now: Tick) -> Option<(u64, LeaseRow)> {
        let term = self.term(now)?;
        self.held = None;
        let (version, _) = self.seen?;
        Some((version, LeaseRow { holder: None, term }))
    }
}
