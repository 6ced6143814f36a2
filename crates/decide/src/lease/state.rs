//! Lease state of one process.

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use super::{FencingNumber, LeaseQuorum};
use crate::ids::{EntryId, IncarnationId, StoreEra, StoreVersion, Tick};

/// Extension of the lease after a renewal to which the store did not respond.
/// Longer than the next renewal takes to fail.
const EXTENSION: Millis = Millis(3_000);

/// Content of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseRow {
    /// Process that holds the lease; `None` after it was released.
    pub holder: Option<LeaseHolder>,
    /// Number of holders so far, for operators. Orders are fenced by
    /// [`FencingNumber`] instead, because a restored row has an old count.
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
    /// Write this row if the stored version is still `expected`.
    Write {
        /// Expected number of the row's version; 0 if there is no row.
        expected: u64,
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
    seen: Option<(StoreVersion, Tick)>,
    held: Option<HeldLease>,
}

/// A held lease.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    fence: FencingNumber,
    /// Value of [`LeaseRow::term`] in the held row.
    term: u64,
    /// Time until which the holder may act.
    until: Tick,
}

impl LeaseState {
    /// Creates the state of a process that does not hold the lease.
    pub const fn new(limits: LeaseLimits, entry: EntryId, incarnation: IncarnationId) -> Self {
        Self { limits, this_process: LeaseHolder { entry, incarnation }, seen: None, held: None }
    }

    /// Fencing number of the lease if this process holds it and may act now.
    pub fn fence(&self, now: Tick) -> Option<FencingNumber> {
        self.held_at(now).map(|held| held.fence)
    }

    fn held_at(&self, now: Tick) -> Option<HeldLease> {
        self.held.filter(|held| now < held.until)
    }

    /// Records the version of the row that the holder announced in a message. The
    /// time to live of that version starts now, so an expired lease can be taken
    /// earlier than if the row had to be read first.
    pub fn record_announcement(&mut self, version: StoreVersion, now: Tick) {
        if self.seen.is_none_or(|(seen, _)| version > seen) {
            self.seen = Some((version, now));
        }
    }

    /// Records the era of a response of the store. A lease that was acquired in an
    /// earlier era is lost: the restored copy may not contain its row, and another
    /// process may take it.
    pub fn record_era(&mut self, era: StoreEra) {
        if self.seen.is_some_and(|(seen, _)| seen.era < era) {
            self.seen = None;
            self.held = None;
        }
    }

    /// Version of the row if this process holds the lease.
    pub fn held_version(&self, now: Tick) -> Option<StoreVersion> {
        self.held_at(now)?;
        self.seen.map(|(version, _)| version)
    }

    /// Write that renews a held lease. The row does not have to be read first.
    pub fn renewal(&self, now: Tick) -> Option<LeaseStep> {
        let held = self.held_at(now)?;
        let (version, _) = self.seen?;
        Some(self.write(version.number, held.term))
    }

    /// Extends a held lease after a renewal to which the store did not respond, if
    /// the quorum allows it. The row is not changed: processes that receive the
    /// holder's messages do not take the lease.
    pub fn extend(&mut self, quorum: LeaseQuorum, now: Tick) {
        let Some(held) = self.held_at(now) else { return };
        if quorum.allows_extension() {
            let until = held.until.max(now.after(EXTENSION));
            self.held = Some(HeldLease { until, ..held });
        }
    }

    /// Records that a write failed because the row had changed: the lease is
    /// lost.
    pub const fn record_conflict(&mut self) {
        self.held = None;
    }

    /// Records the row as it was read in an era, or `None` if there is no row, and
    /// returns the next operation.
    pub fn record_read(&mut self, read: Option<(StoreVersion, &LeaseRow)>, now: Tick) -> LeaseStep {
        let Some((version, row)) = read else {
            return self.write(0, 1);
        };
        let unchanged_since = match self.seen {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.seen = Some((version, unchanged_since));
        match &row.holder {
            Some(holder) if *holder == self.this_process => self.write(version.number, row.term),
            None => self.write(version.number, row.term + 1),
            // An earlier incarnation of this process, which has ended.
            Some(holder) if holder.entry == self.this_process.entry => {
                self.write(version.number, row.term + 1)
            }
            Some(_) if now.since(unchanged_since) >= self.limits.time_to_live => {
                self.write(version.number, row.term + 1)
            }
            Some(_) => {
                self.held = None;
                LeaseStep::Wait
            }
        }
    }

    fn write(&self, expected: u64, term: u64) -> LeaseStep {
        LeaseStep::Write {
            expected,
            row: LeaseRow { holder: Some(self.this_process.clone()), term },
        }
    }

    /// Records that this process has written the row. The validity counts from
    /// the time at which the write was sent. A renewal keeps the fencing number,
    /// except in a new era: its expected version may have been that of another
    /// holder's row by coincidence.
    pub fn record_write(&mut self, version: StoreVersion, term: u64, sent: Tick) {
        let same_era = self.seen.is_some_and(|(seen, _)| seen.era == version.era);
        let renewed = self.held.filter(|held| same_era && sent < held.until);
        let fence = renewed.map_or_else(|| version.into(), |held| held.fence);
        self.seen = Some((version, sent));
        self.held = Some(HeldLease { fence, term, until: sent.after(self.limits.valid_for) });
    }

    /// Releases the lease if it is held, and returns the row to write with the
    /// number of its expected version.
    pub fn release(&mut self, now: Tick) -> Option<(u64, LeaseRow)> {
        let held = self.held_at(now)?;
        self.held = None;
        let (version, _) = self.seen?;
        Some((version.number, LeaseRow { holder: None, term: held.term }))
    }
}
