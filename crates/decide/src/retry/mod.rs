//! Retry budgets, and limits on the attempts at one request.

mod attempts;
mod budget;
mod shared_budgets;
mod slack_marks;
mod sliding_window;

pub use attempts::{AttemptCounts, AttemptEnd, AttemptLimits};
pub use budget::{RetryBudget, RetryBudgetLimits};
pub use shared_budgets::{Contact, RetryDecision, RetryPriority, SharedBudgets};
pub use slack_marks::{SlackAnswer, SlackMark, SlackRecall, SlackReport, SlackReports};
pub use sliding_window::{WindowBudget, WindowLimits, WindowUsage};
