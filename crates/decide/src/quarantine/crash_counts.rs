//! Counts of backend server crashes by request.

use clementine_objects::Millis;

use super::Fingerprint;
use super::records::{CrashRecord, CrashRecords};
use crate::ids::Tick;

/// Settings of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Number of crashes at which a request is refused, at least 1.
    pub crashes: u32,
    /// Time after its last crash for which a request is recorded.
    pub retention: Millis,
    /// Maximum number of recorded requests.
    pub capacity: usize,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { crashes: 2, retention: Millis(600_000), capacity: 4_096 }
    }
}

#[derive(Debug, Clone, Copy)]
struct CrashCount {
    crashes: u32,
    last_crash: Tick,
}

impl CrashRecord for CrashCount {
    fn last_crash(&self) -> Tick {
        self.last_crash
    }
}

/// Requests that were running when their backend server crashed.
///
/// A request is considered the cause only if it ran alone or if a second backend
/// server crashed while running it; see [`Quarantine::is_suspected`].
///
/// Invariant: at most `limits.capacity` requests are recorded.
#[derive(Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    records: CrashRecords<Fingerprint, CrashCount>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub const fn new(limits: QuarantineLimits) -> Self {
        Self { limits, records: CrashRecords::new(limits) }
    }

    /// Records that a backend server crashed while it ran a request.
    pub fn record_crash(&mut self, request: Fingerprint, now: Tick) {
        let empty = CrashCount { crashes: 0, last_crash: now };
        let record = self.records.get_or_insert(request, empty, now);
        record.crashes += 1;
        record.last_crash = now;
    }

    /// Raises the crash count of a request to the count that another process has
    /// seen.
    pub fn merge_crashes(&mut self, request: Fingerprint, crashes: u32, now: Tick) {
        while self.crashes(request, now) < crashes {
            self.record_crash(request, now);
        }
    }

    /// Records that a request completed, which removes it from the quarantine.
    pub fn record_success(&mut self, request: Fingerprint) {
        self.records.remove(request);
    }

    /// Whether a request has to be refused.
    pub fn is_quarantined(&self, request: Fingerprint, now: Tick) -> bool {
        self.crashes(request, now) >= self.limits.crashes
    }

    /// Whether a request is suspected of having crashed a backend server. Two
    /// suspected requests must not run on one backend server at the same time, so
    /// that a crash can be attributed to one of them.
    pub fn is_suspected(&self, request: Fingerprint, now: Tick) -> bool {
        self.crashes(request, now) > 0
    }

    /// Number of recorded requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// Number of recorded crashes of a request.
    pub fn crashes(&self, request: Fingerprint, now: Tick) -> u32 {
        self.records.get(request, now).map_or(0, |record| record.crashes)
    }
}
