//! Records of requests that were running when backend servers crashed.

use std::collections::BTreeMap;

use super::{Fingerprint, QuarantineLimits};
use crate::ids::Tick;

/// A record that expires some time after the last crash.
pub(super) trait CrashRecord {
    /// Time of the last crash.
    fn last_crash(&self) -> Tick;
}

/// Records by request.
///
/// Invariant: at most `limits.capacity` requests are recorded.
#[derive(Debug)]
pub(super) struct CrashRecords<R> {
    limits: QuarantineLimits,
    records: BTreeMap<Fingerprint, R>,
}

impl<R: CrashRecord> CrashRecords<R> {
    /// Creates an empty set.
    pub(super) const fn new(limits: QuarantineLimits) -> Self {
        Self { limits, records: BTreeMap::new() }
    }

    /// The record of a request, unless it has expired.
    pub(super) fn get(&self, request: Fingerprint, now: Tick) -> Option<&R> {
        self.records.get(&request).filter(|record| self.is_current(*record, now))
    }

    /// The record of a request; `empty` is recorded if there is none. If it does not
    /// fit, it replaces the one with the oldest crash.
    pub(super) fn get_or_insert(&mut self, request: Fingerprint, empty: R, now: Tick) -> &mut R {
        if self.get(request, now).is_none() {
            self.make_room(now);
        }
        self.records.entry(request).or_insert(empty)
    }

    fn make_room(&mut self, now: Tick) {
        let retention = self.limits.retention;
        self.records.retain(|_, record| now.since(record.last_crash()) < retention);
        if self.records.len() < self.limits.capacity {
            return;
        }
        let oldest = self.records.iter().min_by_key(|(_, record)| record.last_crash());
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }

    /// The record of a request, also if it has expired.
    pub(super) fn get_mut(&mut self, request: Fingerprint) -> Option<&mut R> {
        self.records.get_mut(&request)
    }

    /// Removes the record of a request.
    pub(super) fn remove(&mut self, request: Fingerprint) {
        self.records.remove(&request);
    }

    /// All records that have not expired.
    pub(super) fn iter_mut(&mut self, now: Tick) -> impl Iterator<Item = (Fingerprint, &mut R)> {
        let retention = self.limits.retention;
        let current = move |record: &R| now.since(record.last_crash()) < retention;
        let records = self.records.iter_mut().map(|(request, record)| (*request, record));
        records.filter(move |(_, record)| current(record))
    }

    /// All records.
    pub(super) fn values(&self) -> impl Iterator<Item = &R> {
        self.records.values()
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    fn is_current(&self, record: &R, now: Tick) -> bool {
        now.since(record.last_crash()) < self.limits.retention
    }
}
