//! Collects what entries use of the limits of workspaces.

use std::collections::{BTreeMap, HashMap};

use clementine_objects::Millis;

use super::{LimitReport, LimitTotals, LimitUse, MAX_LIMITED_WORKSPACES};
use crate::ids::{IncarnationId, Tick};
use crate::shares::WorkspaceHash;

/// Time after which the last report of an entry no longer counts.
const REPORT_LIFETIME: Millis = Millis(1_500);
/// Maximum number of entries; about ten times a large fleet. Bounds the memory to
/// 1,024 reports of 64 workspaces, about 1 MB.
const MAX_ENTRIES: usize = 1_024;

/// Collects what entries use of the limits of workspaces, and tells each one what the
/// others use. Kept by agents, in memory; a lost board is replaced by the next reports.
#[derive(Debug, Default)]
pub struct LimitBoard {
    /// At most 1,024 reports; further entries are not counted until others expire.
    reports: HashMap<IncarnationId, (Tick, Vec<LimitUse>)>,
}

impl LimitBoard {
    /// Records the report of an entry and returns the sums of all others.
    pub fn exchange(&mut self, report: LimitReport, now: Tick) -> LimitTotals {
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
        let mut uses = report.uses;
        uses.retain(LimitUse::is_valid);
        uses.truncate(MAX_LIMITED_WORKSPACES);
        if self.reports.len() < MAX_ENTRIES || self.reports.contains_key(&report.from) {
            self.reports.insert(report.from, (now, uses));
        }
        self.others(report.from)
    }

    /// Number of entries that have reported recently.
    pub fn entries(&self) -> usize {
        self.reports.len()
    }

    fn others(&self, entry: IncarnationId) -> LimitTotals {
        let others = || self.reports.iter().filter(|(from, _)| **from != entry);
        let mut sums: BTreeMap<WorkspaceHash, LimitUse> = BTreeMap::new();
        for use_ in others().flat_map(|(_, (_, uses))| uses) {
            let known = sums.entry(use_.workspace);
            known.and_modify(|sum| sum.add(use_)).or_insert(*use_);
        }
        LimitTotals {
            entries: others().count() as u32,
            uses: sums.into_values().take(MAX_LIMITED_WORKSPACES).collect(),
        }
    }
}
