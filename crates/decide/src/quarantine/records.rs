//! Records of what was running when backend servers crashed.

use std::collections::BTreeMap;

use super::QuarantineLimits;
use crate::ids::Tick;

/// Divisor of the capacity that gives the number of records for which room is made at
/// once.
const DROPPED_SHARE: usize = 16;

/// A record that expires some time after the last crash.
pub(super) trait CrashRecord {
    /// Time of the last crash.
    fn last_crash(&self) -> Tick;
}

/// Records by suspect.
///
/// Invariant: at most `limits.capacity` suspects are recorded.
#[derive(Debug)]
pub(super) struct CrashRecords<K, R> {
    limits: QuarantineLimits,
    records: BTreeMap<K, R>,
}

impl<K: Copy + Ord, R: CrashRecord> CrashRecords<K, R> {
    /// Creates an empty set.
    pub(super) const fn new(limits: QuarantineLimits) -> Self {
        Self { limits, records: BTreeMap::new() }
    }

    /// The record of a suspect, unless it has expired.
    pub(super) fn get(&self, suspect: K, now: Tick) -> Option<&R> {
        self.records.get(&suspect).filter(|record| self.is_current(*record, now))
    }

    /// The record of a suspect; `empty` is recorded if there is none. If there is no room,
    /// the records with the oldest crashes are dropped.
    pub(super) fn get_or_insert(&mut self, suspect: K, empty: R, now: Tick) -> &mut R {
        if self.get(suspect, now).is_none() {
            self.records.remove(&suspect);
            if self.records.len() >= self.limits.capacity {
                self.make_room(now);
            }
        }
        self.records.entry(suspect).or_insert(empty)
    }

    /// Drops the records that have expired, and others until a share of
    /// one in [`DROPPED_SHARE`] is free. One
    /// pass over all records makes room for many, because the loss of a few engines brings
    /// hundreds of suspects at once.
    fn make_room(&mut self, now: Tick) {
        let retention = self.limits.retention;
        self.records.retain(|_, record| now.since(record.last_crash()) < retention);
        let free = (self.limits.capacity / DROPPED_SHARE).max(1);
        let excess = (self.records.len() + free).saturating_sub(self.limits.capacity);
        let mut by_age: Vec<(Tick, K)> =
            self.records.iter().map(|(suspect, record)| (record.last_crash(), *suspect)).collect();
        by_age.sort_unstable();
        for (_, suspect) in by_age.into_iter().take(excess) {
            self.records.remove(&suspect);
        }
    }

    /// The record of a suspect, also if it has expired.
    pub(super) fn get_mut(&mut self, suspect: K) -> Option<&mut R> {
        self.records.get_mut(&suspect)
    }

    /// All records that have not expired, for changes.
    pub(super) fn iter_mut(&mut self, now: Tick) -> impl Iterator<Item = (K, &mut R)> {
        let retention = self.limits.retention;
        let current = move |record: &R| now.since(record.last_crash()) < retention;
        let records = self.records.iter_mut().map(|(suspect, record)| (*suspect, record));
        records.filter(move |(_, record)| current(record))
    }

    /// All records that have not expired.
    pub(super) fn iter(&self, now: Tick) -> impl Iterator<Item = (K, &R)> {
        let records = self.records.iter().map(|(suspect, record)| (*suspect, record));
        records.filter(move |(_, record)| self.is_current(record, now))
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    fn is_current(&self, record: &R, now: Tick) -> bool {
        now.since(record.last_crash()) < self.limits.retention
    }
}
