//! This entry's share of the retry budget of each pool.

use std::collections::HashMap;

use clementine_decide::ids::{PoolId, Tick};
use clementine_decide::retry::{WindowBudget, WindowLimits, WindowUsage};
use clementine_platform::settings::InstanceBounds;
use spdlog::info;

use super::{RequestContext, SharedState};

/// Fraction of the configured budget that the entries use. The rest is headroom
/// for entries that restart and lose their record of the current window.
const USED_FRACTION: f64 = 0.85;
/// Minimum number of entries among which the slack is divided. Applies while
/// this entry has not received messages of the others yet.
const MIN_ENTRY_COUNT: usize = 4;
/// Fraction of the budget that is reserved for retries of high priority.
const HIGH_PRIORITY_RESERVE: f64 = 0.4;

/// Whether a retry may use the reserved part of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryPriority {
    /// May not use the reserve: a stream of which the caller has received
    /// nothing yet.
    Low,
    /// May use the whole budget: a stream that the caller is already receiving,
    /// or a request without a stream.
    High,
}

/// This entry's share of the retry budget of each pool.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    bounds: InstanceBounds,
    entry_count: usize,
    pools: HashMap<PoolId, WindowBudget>,
}

impl RetryBudgets {
    pub(crate) fn new(bounds: InstanceBounds) -> Self {
        Self { bounds, entry_count: MIN_ENTRY_COUNT, pools: HashMap::new() }
    }

    /// Sets the number of entries that share the budget.
    pub(crate) fn set_entry_count(&mut self, count: usize) {
        let count = count.max(MIN_ENTRY_COUNT);
        if count == self.entry_count {
            return;
        }
        self.entry_count = count;
        self.apply_limits();
    }

    /// Applies changed settings to all pools.
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

    /// Records a caller's request, which increases the pool's budget.
    pub(crate) fn record_request(&mut self, pool: &PoolId, now: Tick) {
        self.budget(pool).record_request(now);
    }

    /// Takes a retry from a pool's budget. Returns `false` if the budget does not
    /// allow it.
    pub(crate) fn try_retry(&mut self, pool: &PoolId, priority: RetryPriority, now: Tick) -> bool {
        let reserved_share = match priority {
            RetryPriority::Low => HIGH_PRIORITY_RESERVE,
            RetryPriority::High => 0.0,
        };
        self.budget(pool).try_retry(reserved_share, now)
    }

    /// What has been counted of a pool, and the number of entries that share the slack.
    fn usage(&mut self, pool: &PoolId, now: Tick) -> (WindowUsage, usize) {
        let entry_count = self.entry_count;
        (self.budget(pool).usage(now), entry_count)
    }

    fn budget(&mut self, pool: &PoolId) -> &mut WindowBudget {
        let limits = self.limits();
        self.pools.entry(pool.clone()).or_insert_with(|| WindowBudget::new(limits))
    }

    /// This entry's limits. The ratio applies to the entry's own requests and is
    /// not divided; the slack is divided among the entries.
    fn limits(&self) -> WindowLimits {
        WindowLimits {
            window: self.bounds.retry_window,
            ratio: self.bounds.retry_share * USED_FRACTION,
            slack: self.bounds.retry_reserve * USED_FRACTION / self.entry_count as f64,
        }
    }
}

impl SharedState {
    /// Takes a retry of a request from the budget of its pool. Returns `false` if the
    /// budget does not allow it.
    pub(crate) fn take_retry(&self, ctx: &RequestContext, priority: RetryPriority) -> bool {
        let now = self.now();
        let mut budgets = self.retry_budgets.borrow_mut();
        let granted = budgets.try_retry(&ctx.pool, priority, now);
        let (usage, entries) = budgets.usage(&ctx.pool, now);
        drop(budgets);
        self.metrics.count_retry_decision(granted);
        info!(
            "retry: id={} pool={} granted={} priority={:?} retries={} requests={} allowed={:.1} \
             entries={}",
            ctx.req.id,
            ctx.pool,
            granted,
            priority,
            usage.retries,
            usage.requests,
            usage.allowed,
            entries
        );
        granted
    }
}
