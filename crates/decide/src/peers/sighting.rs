//! Reports of entries that a backend server is down or up again.
//!
//! When engines fail under load, each entry would otherwise find out by itself,
//! by sending work to them.

use std::collections::HashMap;

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use super::BackendHash;
use crate::ids::{EntryId, Tick};

/// Time for which reports on a backend server are counted together.
const REPORT_WINDOW: Millis = Millis(2_000);
/// Number of observers whose reports that a server is down are believed without
/// a check of one's own. A single observer may be cut off itself.
const BELIEVED_OBSERVERS: usize = 2;
/// Number of entries whose checks together replace the checks of one entry: each
/// one checks less often in a larger fleet.
const ENTRIES_PER_CHECK: usize = 8;

/// Condition in which a backend server was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It does not respond.
    Down,
    /// It responds again.
    Up,
}

/// Report of one entry on a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The backend server.
    pub backend: BackendHash,
    /// Condition in which it was found.
    pub condition: Condition,
    /// Entry that found it.
    pub observer: EntryId,
    /// Whether the message comes from an entry of the same failure domain, which
    /// has sent it to all others of the domain.
    pub within_domain: bool,
}

/// What to do about a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SightingStep {
    /// Nothing: enough entries have reported the same.
    Ignore,
    /// Check the server, and believe the check.
    Verify,
    /// Believe the report.
    Accept,
}

#[derive(Debug)]
struct Reports {
    condition: Condition,
    observers: Vec<EntryId>,
    since: Tick,
}

/// Recent reports on backend servers.
#[derive(Debug, Default)]
pub struct Sightings {
    reports: HashMap<BackendHash, Reports>,
}

impl Sightings {
    /// Records a report, of this entry or another one, and returns what to do
    /// about it. It is worth passing on unless it is ignored.
    pub fn record(&mut self, sighting: &Sighting, now: Tick) -> SightingStep {
        self.reports.retain(|_, reports| now.since(reports.since) < REPORT_WINDOW);
        let empty = || Reports { condition: sighting.condition, observers: Vec::new(), since: now };
        let reports = self.reports.entry(sighting.backend).or_insert_with(empty);
        if reports.condition != sighting.condition {
            *reports = empty();
        }
        let enough = match sighting.condition {
            Condition::Down => BELIEVED_OBSERVERS,
            Condition::Up => 1,
        };
        if reports.observers.len() >= enough || reports.observers.contains(&sighting.observer) {
            return SightingStep::Ignore;
        }
        reports.observers.push(sighting.observer.clone());
        if reports.observers.len() < enough { SightingStep::Verify } else { SightingStep::Accept }
    }
}

/// Interval at which an entry checks whether a server is up again, given the
/// interval of an entry on its own and the number of live entries.
pub const fn recovery_check_interval(alone: Millis, live: usize) -> Millis {
    let shared_by = live as u64 / ENTRIES_PER_CHECK as u64;
    Millis(alone.0 * if shared_by > 1 { shared_by } else { 1 })
}
