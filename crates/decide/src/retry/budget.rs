//! Retries as a share of traffic.

/// Bounds of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries that each request adds to the budget.
    pub share: f64,
    /// Retries that the budget holds at most, and at the start.
    pub reserve: f64,
}

impl Default for RetryBudgetLimits {
    fn default() -> Self {
        Self { share: 0.2, reserve: 200.0 }
    }
}

/// A budget that holds retries to a share of the requests.
///
/// Invariant: `0 <= balance <= limits.reserve`.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    balance: f64,
}

impl RetryBudget {
    /// A full budget.
    pub const fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, balance: limits.reserve }
    }

    /// Notes a request of a caller.
    pub fn note_request(&mut self) {
        self.balance = (self.balance + self.limits.share).min(self.limits.reserve);
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
