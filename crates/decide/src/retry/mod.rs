//! Retry budgets.

mod budget;
mod sliding_window;

pub use budget::{RetryBudget, RetryBudgetLimits};
pub use sliding_window::{WindowBudget, WindowLimits};
