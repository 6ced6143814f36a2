//! Retry budget as a ratio of the requests.

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries that each request adds to the budget.
    pub ratio: f64,
    /// Maximum and initial number of retries in the budget.
    pub capacity: f64,
}

impl Default for RetryBudgetLimits {
    fn default() -> Self {
        Self { ratio: 0.2, capacity: 200.0 }
    }
}

/// A budget that limits retries to a ratio of the requests.
///
/// Invariant: `0 <= balance <= limits.capacity`.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, balance: limits.capacity }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.limits.ratio).min(self.limits.capacity);
    }

    /// Takes one retry from the budget if it has one left.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
