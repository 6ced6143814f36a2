//! Messages about the use of limits.

use serde::{Deserialize, Serialize};

use crate::ids::IncarnationId;
use crate::shares::WorkspaceHash;

/// Maximum number of workspaces with limits that are counted and reported.
pub const MAX_LIMITED_WORKSPACES: usize = 64;

/// Use of the limits of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitUse {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Requests that arrived, decayed over 1 s.
    pub offered: f32,
    /// Requests that were started, decayed over 1 s.
    pub started: f32,
    /// Requests in progress.
    pub in_progress: u32,
}

impl LimitUse {
    /// Whether the values are possible. Messages may be damaged.
    pub(super) fn is_valid(&self) -> bool {
        [self.offered, self.started].iter().all(|value| value.is_finite() && *value >= 0.0)
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.started += other.started;
        self.in_progress = self.in_progress.saturating_add(other.in_progress);
    }
}

/// What one entry uses of the limits of workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The entry's process.
    pub from: IncarnationId,
    /// At most [`MAX_LIMITED_WORKSPACES`], those with recent requests.
    pub uses: Vec<LimitUse>,
}

/// What all other entries use of the limits of workspaces.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitTotals {
    /// Number of other entries that have reported recently.
    pub entries: u32,
    /// Sums of the workspaces that were reported.
    pub uses: Vec<LimitUse>,
}

impl LimitTotals {
    /// The larger values of both. Boards hear the same entries; one that has just
    /// started has heard fewer.
    #[must_use]
    pub fn larger(mut self, other: &Self) -> Self {
        self.entries = self.entries.max(other.entries);
        for use_ in &other.uses {
            let found = self.uses.iter_mut().find(|known| known.workspace == use_.workspace);
            let Some(known) = found else {
                self.uses.push(*use_);
                continue;
            };
            known.offered = known.offered.max(use_.offered);
            known.started = known.started.max(use_.started);
            known.in_progress = known.in_progress.max(use_.in_progress);
        }
        self
    }
}
