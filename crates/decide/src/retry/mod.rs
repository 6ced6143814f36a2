//! The budget of retries.

mod budget;
mod window;

pub use budget::{RetryBudget, RetryBudgetLimits};
pub use window::{WindowBudget, WindowLimits};
