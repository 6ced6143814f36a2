//! The budget of retries.

mod budget;

pub use budget::{RetryBudget, RetryBudgetLimits};
