//! Counts of the work of each workspace, and the shares derived from them.

use std::collections::HashMap;
use std::ops::RangeInclusive;

use clementine_objects::Millis;

use super::{
    PoolHash, PoolShares, ShareKey, ShareStatus, ShareTotals, Standing, WorkCost, WorkspaceShare,
    fair_level,
};
use crate::ids::Tick;

/// Time constant of the exponential decay of the sums. Long against the age of other
/// entries' sums (0.5 s), short against the loads that shares are meant for.
const DECAY_TIME: Millis = Millis(2_000);
/// Time after the last request without capacity for which capacity counts as scarce.
const SCARCE_TIME: Millis = Millis(3_000);
/// Maximum number of workspaces in pools that an entry counts. The largest
/// configurations have 40 workspaces in a few pools.
pub const MAX_TRACKED_SHARES: usize = 256;
/// Maximum number of pools whose scarcity an entry remembers.
const MAX_SCARCE_POOLS: usize = 64;
/// Fraction of its share below which a workspace counts as unserved.
const UNSERVED_FRACTION: f64 = 0.1;
/// Fraction by which the demand has to exceed the share for a workspace to be over it.
/// Absorbs rounding in the sums of many workspaces.
const TOLERANCE: f64 = 0.001;
/// Exponent with which the part of its demand that a workspace may have served reacts to
/// the ratio of its share to its admitted work. In the tests of views that lag by 0.5 s,
/// small workspaces were served 6% less without the correction, and 14% less with a
/// plain comparison of both sums instead of a part.
const CORRECTION_EXPONENT: i32 = 8;
/// Bounds of the correction.
const CORRECTION: RangeInclusive<f64> = 0.1..=2.0;
/// Maximum credit as a fraction of this entry's part of the share, but at least one
/// request. Larger credits let all entries admit a burst at once.
const MAX_CREDIT: f64 = 0.2;
/// Credit in requests from which a request counts as within its share. Half a request
/// rounds to the nearest number of requests.
const MIN_CREDIT_REQUESTS: f64 = 0.5;
/// Sum in units of cost, as a fraction of a request, below which a workspace is
/// forgotten and not reported.
const NEGLIGIBLE_REQUESTS: f64 = 0.01;

/// Work of one workspace in a pool, decayed over 2 s.
#[derive(Debug, Clone, Copy, Default)]
struct WorkSums {
    offered_requests: f64,
    offered: f64,
    admitted: f64,
    /// Part of the share that this entry has not used yet; negative if it has admitted
    /// more. Does not decay, because an entry that sees one request of a workspace per
    /// second would otherwise forget what it has admitted between two requests.
    credit: f64,
    updated_at: Tick,
}

impl WorkSums {
    /// The sums at a later time.
    fn at(self, now: Tick) -> Self {
        let decay = (-(now.since(self.updated_at).0 as f64) / DECAY_TIME.0 as f64).exp();
        Self {
            offered_requests: self.offered_requests * decay,
            offered: self.offered * decay,
            admitted: self.admitted * decay,
            credit: self.credit,
            updated_at: now.max(self.updated_at),
        }
    }

    /// Mean cost of a request.
    fn request_cost(self) -> f64 {
        self.offered / self.offered_requests.max(f64::MIN_POSITIVE)
    }

    /// Adds a part of an offered request to the credit.
    fn add_credit(&mut self, cost: WorkCost, served_part: f64) {
        let max = (self.offered * served_part * MAX_CREDIT).max(self.request_cost());
        self.credit = (self.credit + cost.units() * served_part).clamp(-max, max);
    }

    fn has_credit(self) -> bool {
        self.credit >= self.request_cost() * MIN_CREDIT_REQUESTS
    }

    fn is_negligible(self) -> bool {
        self.offered_requests < NEGLIGIBLE_REQUESTS
    }
}

/// Share of a workspace in a pool whose capacity is scarce, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSummary {
    /// Offered work of all entries.
    pub demand: f64,
    /// Admitted work of all entries.
    pub admitted: f64,
    /// Largest share that any workspace gets; infinite if all get what they ask for.
    pub level: f64,
    /// Standing of the workspace.
    pub standing: Standing,
}

impl ShareSummary {
    /// Share of the workspace.
    pub const fn share(&self) -> f64 {
        self.demand.min(self.level)
    }

    /// Part of the offered work to serve, so that the admitted work approaches the share.
    /// Depends on sums that change slowly, and so tolerates old sums of other entries
    /// better than a comparison of the admitted work with the share.
    fn served_part(&self) -> f64 {
        if self.demand <= 0.0 || self.admitted <= 0.0 {
            return 1.0;
        }
        let correction = (self.level / self.admitted).powi(CORRECTION_EXPONENT);
        let correction = correction.clamp(*CORRECTION.start(), *CORRECTION.end());
        self.share() / self.demand * correction
    }
}

/// Counts the work that workspaces offer and the work that is admitted, and divides
/// scarce capacity among them.
///
/// Handles the load of one workspace that sends several times its usual requests, or
/// repeats refused ones immediately, while others compete for the same servers. Shares
/// are max-min fair with equal weights (see [`fair_level`]). The capacity is what all
/// entries have admitted recently. A repeated request counts as demand, and the level
/// bounds what demand can gain.
///
/// Of a workspace that asks for more than its share, each entry counts the part of the
/// requests that fits as within the share, and the rest as over it. A request over the
/// share should take capacity that is free at that moment, and not wait for capacity
/// that others wait for; then no capacity is left unused.
///
/// Own sums are current, those of the other entries as old as their messages. Without
/// messages from others, an entry divides what it admits itself.
#[derive(Debug, Default)]
pub struct ShareLedger {
    /// Own sums. At most [`MAX_TRACKED_SHARES`]; the one with the least demand makes
    /// room for a new one.
    own: HashMap<ShareKey, WorkSums>,
    /// When this entry last found no capacity in a pool. At most 64 pools; the one
    /// with the oldest time makes room for a new one.
    scarce_at: HashMap<PoolHash, Tick>,
    /// Sum of what the other entries reported; bounded by [`ShareTotals`].
    others: ShareTotals,
}

impl ShareLedger {
    /// Records that a request has arrived, for the first time or again.
    pub fn record_offered(&mut self, key: ShareKey, cost: WorkCost, now: Tick) {
        self.make_room(key, now);
        let sums = self.own.entry(key).or_default();
        *sums = sums.at(now);
        sums.offered_requests += 1.0;
        sums.offered += cost.units();
        let served_part = self.summary(key, now).map(|summary| summary.served_part());
        let Some(sums) = self.own.get_mut(&key) else { return };
        match served_part {
            Some(served_part) => sums.add_credit(cost, served_part),
            None => sums.credit = 0.0,
        }
    }

    /// Records that an offered request has been admitted: it has got a server or a path.
    pub fn record_admitted(&mut self, key: ShareKey, cost: WorkCost, now: Tick) {
        let Some(sums) = self.own.get_mut(&key) else { return };
        *sums = sums.at(now);
        sums.admitted += cost.units();
        sums.credit -= cost.units();
    }

    /// Records that a request has found no capacity in a pool.
    pub fn record_scarce(&mut self, pool: PoolHash, now: Tick) {
        if self.scarce_at.len() >= MAX_SCARCE_POOLS && !self.scarce_at.contains_key(&pool) {
            let oldest = self.scarce_at.iter().min_by_key(|(pool, at)| (**at, **pool));
            let oldest = oldest.map(|(pool, _)| *pool);
            oldest.and_then(|oldest| self.scarce_at.remove(&oldest));
        }
        self.scarce_at.insert(pool, now);
    }

    /// Replaces the sums of the other entries.
    pub fn merge(&mut self, others: ShareTotals) {
        self.others = others;
    }

    /// Whether capacity in a pool is scarce, or was within the last seconds, at this
    /// entry or another one.
    pub fn is_scarce(&self, pool: PoolHash, now: Tick) -> bool {
        self.is_scarce_here(pool, now)
            || self.others.pools.get(&pool).is_some_and(|totals| totals.scarce)
    }

    /// Whether a workspace has been served its share of scarce capacity, so that others
    /// go first.
    pub fn is_over_share(&self, key: ShareKey, now: Tick) -> bool {
        self.standing(key, now) == Standing::Over
    }

    /// Standing of a workspace in the competition for the capacity of a pool.
    pub fn standing(&self, key: ShareKey, now: Tick) -> Standing {
        self.summary(key, now).map_or(Standing::Within, |summary| summary.standing)
    }

    /// Share of a workspace in a pool; `None` if the pool's capacity is not scarce.
    pub fn summary(&self, key: ShareKey, now: Tick) -> Option<ShareSummary> {
        if !self.is_scarce(key.pool, now) {
            return None;
        }
        let (mut demand, mut admitted, mut capacity) = (0.0, 0.0, 0.0);
        let mut demands = Vec::new();
        self.for_each(key.pool, now, |found, offered, served| {
            demands.push(offered);
            capacity += served;
            if found == key {
                (demand, admitted) = (offered, served);
            }
        });
        let level = fair_level(&mut demands, capacity);
        let has_credit = self.own.get(&key).is_none_or(|sums| sums.has_credit());
        let standing = if demand > level * (1.0 + TOLERANCE) && !has_credit {
            Standing::Over
        } else if admitted <= demand.min(level) * UNSERVED_FRACTION {
            Standing::Unserved
        } else {
            Standing::Within
        };
        Some(ShareSummary { demand, admitted, level, standing })
    }

    /// The sums of this entry in the pools whose capacity is scarce, to be sent to the
    /// other entries; empty while there is capacity for all.
    pub fn report(&self, now: Tick) -> ShareStatus {
        let mut status = ShareStatus::default();
        for (key, sums) in &self.own {
            let sums = sums.at(now);
            if sums.is_negligible() || !self.is_scarce(key.pool, now) {
                continue;
            }
            let found = status.pools.iter().position(|shares| shares.pool == key.pool);
            let at = found.unwrap_or_else(|| {
                let scarce = self.is_scarce_here(key.pool, now);
                status.pools.push(PoolShares { pool: key.pool, scarce, workspaces: Vec::new() });
                status.pools.len() - 1
            });
            status.pools[at].workspaces.push(WorkspaceShare {
                workspace: key.workspace,
                demand: sums.offered as f32,
                admitted: sums.admitted as f32,
            });
        }
        status.bounded()
    }

    /// Number of workspaces in pools that this entry counts.
    pub fn tracked(&self) -> usize {
        self.own.len()
    }

    /// Pools whose capacity this entry has found to be scarce within the last seconds.
    pub fn scarce_pools(&self, now: Tick) -> usize {
        self.scarce_at.keys().filter(|pool| self.is_scarce_here(**pool, now)).count()
    }

    fn is_scarce_here(&self, pool: PoolHash, now: Tick) -> bool {
        self.scarce_at.get(&pool).is_some_and(|at| now.since(*at) < SCARCE_TIME)
    }

    /// Calls `f` with the offered and admitted work of each workspace of a pool, over
    /// all entries.
    fn for_each(&self, pool: PoolHash, now: Tick, mut f: impl FnMut(ShareKey, f64, f64)) {
        let others = self.others.pools.get(&pool).map(|totals| &totals.workspaces);
        for (key, sums) in self.own.iter().filter(|(key, _)| key.pool == pool) {
            let sums = sums.at(now);
            let (demand, admitted) =
                others.and_then(|others| others.get(&key.workspace)).copied().unwrap_or_default();
            f(*key, sums.offered + demand, sums.admitted + admitted);
        }
        for (workspace, (demand, admitted)) in others.into_iter().flatten() {
            let key = ShareKey { pool, workspace: *workspace };
            if !self.own.contains_key(&key) {
                f(key, *demand, *admitted);
            }
        }
    }

    /// Makes room for a new workspace: drops those without recent requests, or else the
    /// one with the least demand.
    fn make_room(&mut self, key: ShareKey, now: Tick) {
        if self.own.len() < MAX_TRACKED_SHARES || self.own.contains_key(&key) {
            return;
        }
        self.own.retain(|_, sums| !sums.at(now).is_negligible());
        if self.own.len() < MAX_TRACKED_SHARES {
            return;
        }
        let requests = |sums: &WorkSums| sums.at(now).offered_requests;
        let least = self.own.iter().min_by(|a, b| requests(a.1).total_cmp(&requests(b.1)));
        let least = least.map(|(key, _)| *key);
        least.and_then(|least| self.own.remove(&least));
    }
}
