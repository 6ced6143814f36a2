//! This entry's part of the retry budget of each pool.

use std::collections::HashMap;

use clementine_decide::ids::PoolId;
use clementine_decide::retry::{RetryBudget, RetryBudgetLimits};
use clementine_platform::settings::InstanceBounds;

/// Part of the shared budget that the entries use together. The rest is for
/// entries that do not know of each other yet.
const SHARED_PART: f64 = 0.7;
/// Entries that are assumed before any has been heard.
const ENTRIES_AT_LEAST: usize = 4;
/// Share of the reserve that is kept for streams that the caller has begun to
/// read.
const KEPT_FOR_STREAMS: f64 = 0.4;

/// What a retry is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryFor {
    /// A request of which the caller has nothing yet.
    Start,
    /// A stream that the caller has begun to read.
    Rest,
}

/// This entry's part of the retry budget of each pool.
#[derive(Debug)]
pub(crate) struct Retries {
    bounds: InstanceBounds,
    entries: usize,
    pools: HashMap<PoolId, RetryBudget>,
}

impl Retries {
    pub(crate) fn new(bounds: InstanceBounds) -> Self {
        Self { bounds, entries: ENTRIES_AT_LEAST, pools: HashMap::new() }
    }

    /// Takes in the number of entries that share the budget.
    pub(crate) fn note_entries(&mut self, entries: usize) {
        let entries = entries.max(ENTRIES_AT_LEAST);
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        let limits = self.limits();
        for budget in self.pools.values_mut() {
            budget.set_limits(limits);
        }
    }

    /// Notes a request of a caller.
    pub(crate) fn note_request(&mut self, pool: &PoolId) {
        self.budget(pool).note_request();
    }

    /// Takes a retry from a pool's budget, if it allows one.
    pub(crate) fn try_retry(&mut self, pool: &PoolId, what: RetryFor) -> bool {
        let budget = self.budget(pool);
        match what {
            RetryFor::Start => budget.try_retry_keeping(KEPT_FOR_STREAMS),
            RetryFor::Rest => budget.try_retry(),
        }
    }

    fn budget(&mut self, pool: &PoolId) -> &mut RetryBudget {
        let limits = self.limits();
        self.pools.entry(pool.clone()).or_insert_with(|| RetryBudget::new(limits))
    }

    fn limits(&self) -> RetryBudgetLimits {
        let reserve = self.bounds.retry_reserve * SHARED_PART / self.entries as f64;
        RetryBudgetLimits { share: self.bounds.retry_share, reserve: reserve.max(1.0) }
    }
}
