//! This entry's part of the retry budget of each pool.

use std::collections::HashMap;

use clementine_decide::ids::{PoolId, Tick};
use clementine_decide::retry::{WindowBudget, WindowLimits};
use clementine_platform::settings::InstanceBounds;

/// Part of the shared budget that the entries use together. The rest is for
/// entries that have started again and know nothing of the window.
const SHARED_PART: f64 = 0.85;
/// Entries that are assumed before any has been heard.
const ENTRIES_AT_LEAST: usize = 4;
/// Share of the budget that is kept for streams that the caller has begun to
/// read.
const KEPT_FOR_STREAMS: f64 = 0.4;

/// What a retry is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryPriority {
    /// A request of which the caller has nothing yet.
    Low,
    /// A stream that the caller has begun to read.
    High,
}

/// This entry's part of the retry budget of each pool.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    bounds: InstanceBounds,
    entries: usize,
    pools: HashMap<PoolId, WindowBudget>,
}

impl RetryBudgets {
    pub(crate) fn new(bounds: InstanceBounds) -> Self {
        Self { bounds, entries: ENTRIES_AT_LEAST, pools: HashMap::new() }
    }

    /// Takes in the number of entries that share the budget.
    pub(crate) fn set_entry_count(&mut self, entries: usize) {
        let entries = entries.max(ENTRIES_AT_LEAST);
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        self.apply_limits();
    }

    /// Puts changed bounds in force.
    pub(crate) fn apply_bounds(&mut self, bounds: InstanceBounds) {
        self.bounds = bounds;
        self.apply_limits();
    }

    fn apply_limits(&mut self) {
        let limits = self.limits();
        for budget in self.pools.values_mut() {
            budget.set_limits(limits);
        }
    }

    /// Notes a request of a caller.
    pub(crate) fn record_request(&mut self, pool: &PoolId, now: Tick) {
        self.budget(pool).record_request(now);
    }

    /// Takes a retry from a pool's budget, if it allows one.
    pub(crate) fn try_retry(&mut self, pool: &PoolId, what: RetryPriority, now: Tick) -> bool {
        let keep = match what {
            RetryPriority::Low => KEPT_FOR_STREAMS,
            RetryPriority::High => 0.0,
        };
        self.budget(pool).try_retry(keep, now)
    }

    fn budget(&mut self, pool: &PoolId) -> &mut WindowBudget {
        let limits = self.limits();
        self.pools.entry(pool.clone()).or_insert_with(|| WindowBudget::new(limits))
    }

    fn limits(&self) -> WindowLimits {
        WindowLimits {
            window: self.bounds.retry_window,
            ratio: self.bounds.retry_share * SHARED_PART,
            slack: self.bounds.retry_reserve * SHARED_PART / self.entries as f64,
        }
    }
}
