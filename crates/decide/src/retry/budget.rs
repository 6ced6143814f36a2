//! Retries as a share of traffic.

/// Bounds of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries that each request adds to the budget.
    pub ratio: f64,
    /// Retries that the budget holds at most, and at the start.
    pub capacity: f64,
}

impl Default for RetryBudgetLimits {
    fn default() -> Self {
        Self { ratio: 0.2, capacity: 200.0 }
    }
}

/// A budget that holds retries to a share of the requests.
///
/// Invariant: `0 <= balance <= limits.capacity`.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    balance: f64,
}

impl RetryBudget {
    /// A full budget.
    pub const fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, balance: limits.capacity }
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.limits.ratio).min(self.limits.capacity);
    }

    /// Takes one retry from the budget, if it holds one.
    pub fn try_retry(&mut self) -> bool {
        let affordable = self.balance >= 1.0;
        if affordable {
            self.balance -= 1.0;
        }
        affordable
    }
}
