//! Crashes counted by request.

use std::collections::BTreeMap;

use clementine_objects::Millis;

use super::Fingerprint;
use crate::ids::Tick;

/// Bounds of a quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Crashes after which a request is refused, at least 1.
    pub crashes: u32,
    /// Time after its last crash for which a request is remembered.
    pub retention: Millis,
    /// Requests remembered at one time.
    pub capacity: usize,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { crashes: 2, retention: Millis(600_000), capacity: 4_096 }
    }
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    crashes: u32,
    last_crash: Tick,
}

/// Requests that ran when their backend server crashed.
///
/// A request counts as the cause only when it ran alone or crashed a second
/// backend server; see [`Quarantine::must_run_alone`].
///
/// Invariant: at most `limits.capacity` requests are remembered.
#[derive(Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    suspects: BTreeMap<Fingerprint, Suspicion>,
}

impl Quarantine {
    /// An empty quarantine.
    pub const fn new(limits: QuarantineLimits) -> Self {
        Self { limits, suspects: BTreeMap::new() }
    }

    /// Notes that a backend server crashed while it ran a request.
    pub fn record_crash(&mut self, request: Fingerprint, now: Tick) {
        self.expire(now);
        if !self.suspects.contains_key(&request) && self.suspects.len() >= self.limits.capacity {
            self.drop_oldest();
        }
        let fresh = Suspicion { crashes: 0, last_crash: now };
        let suspicion = self.suspects.entry(request).or_insert(fresh);
        suspicion.crashes += 1;
        suspicion.last_crash = now;
    }

    /// Takes in the count of crashes that another process has seen.
    pub fn merge_crashes(&mut self, request: Fingerprint, crashes: u32, now: Tick) {
        while self.crashes(request, now) < crashes {
            self.record_crash(request, now);
        }
    }

    /// Notes that a request ran to its end, which clears it.
    pub fn record_success(&mut self, request: Fingerprint) {
        self.suspects.remove(&request);
    }

    /// Whether a request is to be refused.
    pub fn is_quarantined(&self, request: Fingerprint, now: Tick) -> bool {
        self.crashes(request, now) >= self.limits.crashes
    }

    /// Whether a request is suspected and must not share a backend server
    /// with another suspect.
    pub fn must_run_alone(&self, request: Fingerprint, now: Tick) -> bool {
        self.crashes(request, now) > 0
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Crashes of a request that are remembered.
    pub fn crashes(&self, request: Fingerprint, now: Tick) -> u32 {
        let suspicion = self.suspects.get(&request);
        let fresh = suspicion.filter(|s| now.since(s.last_crash) < self.limits.retention);
        fresh.map_or(0, |s| s.crashes)
    }

    fn expire(&mut self, now: Tick) {
        let memory = self.limits.retention;
        self.suspects.retain(|_, suspicion| now.since(suspicion.last_crash) < memory);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, suspicion)| suspicion.last_crash);
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }
}
