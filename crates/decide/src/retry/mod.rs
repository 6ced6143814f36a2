//! Retry budgets.

mod budget;
mod sliding_window;
mod stream_attempts;

pub use budget::{RetryBudget, RetryBudgetLimits};
pub use sliding_window::{WindowBudget, WindowLimits, WindowUsage};
pub use stream_attempts::StreamAttempts;
