//! Sums of what several entries report.

use std::collections::BTreeMap;

use super::{PoolHash, PoolShares, ShareStatus, WorkspaceHash, WorkspaceShare};

/// Maximum number of pools and of workspaces per pool that are summed up. Valid
/// configurations have fewer; the bound holds against damaged messages.
const MAX_SUMMED: usize = 256;

/// Sum of the work in a pool.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PoolTotals {
    /// Whether any of the entries has found capacity to be scarce itself.
    pub scarce: bool,
    /// Offered and admitted work of each workspace.
    pub workspaces: BTreeMap<WorkspaceHash, (f64, f64)>,
}

/// Sum of what several entries report on the work of workspaces. At most 256 pools
/// with 256 workspaces each.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ShareTotals {
    /// The pools.
    pub pools: BTreeMap<PoolHash, PoolTotals>,
}

impl ShareTotals {
    /// Adds a report.
    pub fn add(&mut self, status: &ShareStatus) {
        for reported in &status.pools {
            if self.pools.len() >= MAX_SUMMED && !self.pools.contains_key(&reported.pool) {
                continue;
            }
            let pool = self.pools.entry(reported.pool).or_default();
            pool.scarce |= reported.scarce;
            for share in &reported.workspaces {
                pool.add(share);
            }
        }
    }

    /// The sum as a status to report.
    pub fn into_status(self) -> ShareStatus {
        let pools = self.pools.into_iter().map(|(pool, totals)| PoolShares {
            pool,
            scarce: totals.scarce,
            workspaces: totals.into_shares(),
        });
        ShareStatus { pools: pools.collect() }.bounded()
    }
}

impl PoolTotals {
    fn add(&mut self, share: &WorkspaceShare) {
        if self.workspaces.len() >= MAX_SUMMED && !self.workspaces.contains_key(&share.workspace) {
            return;
        }
        let (demand, admitted) = self.workspaces.entry(share.workspace).or_default();
        *demand += f64::from(share.demand);
        *admitted += f64::from(share.admitted);
    }

    fn into_shares(self) -> Vec<WorkspaceShare> {
        let shares = self.workspaces.into_iter().map(|(workspace, (demand, admitted))| {
            WorkspaceShare { workspace, demand: demand as f32, admitted: admitted as f32 }
        });
        shares.collect()
    }
}
