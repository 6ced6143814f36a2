//! Admits the requests that the limits of their workspace allow.

use std::collections::HashMap;

use clementine_objects::{Millis, WorkspaceLimits};

use super::{LimitKind, LimitRefusal, LimitReport, LimitTotals, LimitUse, MAX_LIMITED_WORKSPACES};
use crate::ids::{IncarnationId, Tick};
use crate::shares::WorkspaceHash;

/// Time constant of the exponential decay of the sums. With 1 s, a sum of a steady flow
/// is its rate per second, and a workspace that was idle may start the requests of one
/// second at once.
const DECAY_TIME: Millis = Millis(1_000);
/// Time after which the sums of the other entries no longer count.
const TOTALS_LIFETIME: Millis = Millis(1_500);
/// Age of the other entries' sums, and time for which an entry keeps the place of an
/// ended request.
const VIEW_AGE: Millis = Millis(150);
/// Divisor of the rate at which an entry takes free places. In tests, 1 exceeded a limit
/// of 100 by up to 40 requests, 2 by up to 3.
const PLACE_DIVISOR: f64 = 2.0;
/// Exponent with which the admitted part reacts to the ratio of limit and started
/// requests. Higher ones make entries with old sums overshoot together.
const CORRECTION_EXPONENT: i32 = 4;
/// Factor by which an entry may exceed its part of a rate for a moment.
const BURST_FACTOR: f64 = 1.5;
/// Bounds of the correction.
const CORRECTION: (f64, f64) = (0.1, 2.0);
/// Credit in requests from which a request is admitted; rounds to the nearest number.
const MIN_CREDIT: f64 = 0.5;
/// Maximum credit in requests.
const MAX_CREDIT: f64 = 1.0;
/// Sum below which a workspace without requests in progress is forgotten.
const NEGLIGIBLE: f64 = 0.01;
/// Bounds of the retry delay in ms.
const RETRY_AFTER_MS: (f64, f64) = (50.0, 2_500.0);

/// Use of a workspace's limits at this entry.
#[derive(Debug, Clone, Copy, Default)]
struct OwnUse {
    offered: f64,
    started: f64,
    in_progress: u32,
    /// Requests that the rate allows and that have not been admitted. Does not decay, so
    /// that entries with few requests admit their part as well.
    rate_credit: f64,
    /// Part of a free place that this entry may take.
    place_credit: f64,
    /// Places of ended requests that this entry keeps for its next requests, so that it
    /// need not learn first that they are free.
    kept_places: u32,
    /// When the last place was left.
    left_at: Tick,
    updated_at: Tick,
}

impl OwnUse {
    fn at(self, now: Tick) -> Self {
        let keeps = now.since(self.left_at) < VIEW_AGE;
        let decay = (-(now.since(self.updated_at).0 as f64) / DECAY_TIME.0 as f64).exp();
        Self {
            offered: self.offered * decay,
            started: self.started * decay,
            updated_at: now.max(self.updated_at),
            kept_places: if keeps { self.kept_places } else { 0 },
            ..self
        }
    }

    fn is_idle(&self) -> bool {
        self.in_progress == 0 && self.offered < NEGLIGIBLE
    }
}

/// What other entries use of a limit, and the part of the limit that counts.
#[derive(Debug, Clone, Copy)]
struct Others {
    offered: f64,
    started: f64,
    in_progress: u32,
    /// Whether the sums of other entries have to be respected, which are old.
    shared: bool,
    /// Divisor of the limits: the number of entries if their use is unknown, else 1.
    divisor: f64,
}

/// Admits the requests that the limits of their workspace allow, across all entries.
///
/// Handles a workspace that sends more than its declared `requests-per-second` or holds
/// more than its `concurrent` requests, through any number of entries. Each entry admits
/// the same part of its requests, so that the limit is divided by demand. While all
/// entries together stay below the limits, every request is admitted. Entries can exceed
/// a limit together by what changes between two exchanges. Without the sums of the
/// others, an entry takes an equal part of the limits, by the last known number of
/// entries, but at least one request.
#[derive(Debug)]
pub struct WorkspaceLimiter {
    from: IncarnationId,
    /// Workspaces with limits. At most [`MAX_LIMITED_WORKSPACES`]; when all are in use,
    /// requests of further ones are admitted uncounted.
    own: HashMap<WorkspaceHash, OwnUse>,
    /// Sums of the other entries and when they were received. At most
    /// [`MAX_LIMITED_WORKSPACES`].
    others: Option<(Tick, LimitTotals)>,
}

impl WorkspaceLimiter {
    /// Creates a limiter of an entry's process, which knows of no other entries.
    pub fn new(from: IncarnationId) -> Self {
        Self { from, own: HashMap::new(), others: None }
    }

    /// Starts a request if the limits allow it. [`finish`](Self::finish) must be called
    /// when an admitted request has ended.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeds.
    pub fn start(
        &mut self,
        workspace: WorkspaceHash,
        limits: &WorkspaceLimits,
        now: Tick,
    ) -> Result<(), LimitRefusal> {
        if !self.make_room(workspace, now) {
            return Ok(());
        }
        let others = self.others_use(workspace, now);
        let own = self.own.entry(workspace).or_default();
        *own = own.at(now);
        own.offered += 1.0;
        let demand = own.offered + others.offered;
        if let Some(limit) = limits.concurrent {
            let limit = (f64::from(limit) / others.divisor).floor().max(1.0);
            if !own.take_place(limit, demand, &others) {
                return Err(LimitRefusal { limit: LimitKind::Concurrent, retry_after: None });
            }
        }
        if let Some(limit) = limits.requests_per_second {
            let limit = (f64::from(limit) / others.divisor).max(1.0);
            if !own.is_within_rate(limit, demand, &others) {
                let (least, most) = RETRY_AFTER_MS;
                let excess_ms = (demand / limit - 1.0) * DECAY_TIME.0 as f64;
                let retry_after = Some(Millis(excess_ms.clamp(least, most) as u64));
                return Err(LimitRefusal { limit: LimitKind::RequestsPerSecond, retry_after });
            }
        }
        own.started += 1.0;
        own.in_progress += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn finish(&mut self, workspace: WorkspaceHash, now: Tick) {
        if let Some(own) = self.own.get_mut(&workspace) {
            *own = own.at(now);
            own.in_progress = own.in_progress.saturating_sub(1);
            own.kept_places += 1;
            own.left_at = now;
        }
    }

    /// What this entry uses, to be sent to the boards.
    pub fn report(&self, now: Tick) -> LimitReport {
        let uses = self.own.iter().map(|(workspace, own)| (workspace, own.at(now)));
        let uses = uses.filter(|(_, own)| !own.is_idle()).map(|(workspace, own)| LimitUse {
            workspace: *workspace,
            offered: own.offered as f32,
            started: own.started as f32,
            in_progress: own.in_progress + own.kept_places,
        });
        LimitReport { from: self.from, uses: uses.collect() }
    }

    /// Replaces the sums of the other entries.
    pub fn merge(&mut self, mut totals: LimitTotals, now: Tick) {
        totals.uses.retain(LimitUse::is_valid);
        totals.uses.truncate(MAX_LIMITED_WORKSPACES);
        self.others = Some((now, totals));
    }

    /// Number of workspaces that are counted.
    pub fn tracked(&self) -> usize {
        self.own.len()
    }

    fn others_use(&self, workspace: WorkspaceHash, now: Tick) -> Others {
        let none =
            Others { offered: 0.0, started: 0.0, in_progress: 0, shared: false, divisor: 1.0 };
        let Some((received_at, totals)) = &self.others else { return none };
        if now.since(*received_at) >= TOTALS_LIFETIME {
            return Others { divisor: f64::from(totals.entries) + 1.0, ..none };
        }
        let none = Others { shared: totals.entries > 0, ..none };
        let found = totals.uses.iter().find(|known| known.workspace == workspace);
        found.map_or(none, |known| Others {
            offered: known.offered.into(),
            started: known.started.into(),
            in_progress: known.in_progress,
            ..none
        })
    }

    /// Whether a workspace is counted or can be. Forgets those without recent requests if
    /// there are too many.
    fn make_room(&mut self, workspace: WorkspaceHash, now: Tick) -> bool {
        if self.own.len() >= MAX_LIMITED_WORKSPACES && !self.own.contains_key(&workspace) {
            self.own.retain(|_, own| !own.at(now).is_idle());
        }
        self.own.len() < MAX_LIMITED_WORKSPACES || self.own.contains_key(&workspace)
    }
}

impl OwnUse {
    /// Takes a place for another request: one that a request of this entry has left, or
    /// one that all entries together leave free.
    ///
    /// Free places are given out more slowly than the sums of the others arrive, so that
    /// entries do not all take the same place.
    fn take_place(&mut self, limit: f64, demand: f64, others: &Others) -> bool {
        let total = f64::from(self.in_progress) + f64::from(others.in_progress);
        let held = total + f64::from(self.kept_places);
        let keeps_place = self.kept_places > 0;
        // Used by this request, or left because all entries together hold too many.
        self.kept_places = self.kept_places.saturating_sub(1);
        if !others.shared {
            return total + 1.0 <= limit;
        }
        if keeps_place {
            return held <= limit;
        }
        let free = limit - total;
        if free < 1.0 {
            return false;
        }
        let arriving = demand * VIEW_AGE.0 as f64 / DECAY_TIME.0 as f64;
        let chance = free / (PLACE_DIVISOR * arriving.max(MIN_CREDIT));
        self.place_credit = (self.place_credit + chance).min(MAX_CREDIT);
        let admitted = self.place_credit >= MIN_CREDIT;
        self.place_credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// Whether the request belongs to the part of the demand that the limit allows.
    fn is_within_rate(&mut self, limit: f64, demand: f64, others: &Others) -> bool {
        let part = limit * self.offered / demand;
        // The sums of others are old: a strict bound would refuse more than the correction.
        let most = if others.offered > 0.0 { part * BURST_FACTOR + 1.0 } else { part };
        if self.started + MIN_CREDIT >= most {
            return false;
        }
        if demand <= limit {
            self.rate_credit = 0.0;
            return true;
        }
        let started = (self.started + others.started).max(f64::MIN_POSITIVE);
        let (least, most) = CORRECTION;
        let correction = (limit / started).powi(CORRECTION_EXPONENT).clamp(least, most);
        self.rate_credit = (self.rate_credit + limit / demand * correction).min(MAX_CREDIT);
        let admitted = self.rate_credit >= MIN_CREDIT;
        self.rate_credit -= f64::from(u8::from(admitted));
        admitted
    }
}
