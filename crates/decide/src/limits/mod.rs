//! Declared limits of workspaces, enforced across all entries.
//!
//! Each entry admits its part of what a limit allows, in proportion to its part of the
//! demand. Entries learn each other's demand through a [`LimitBoard`].

mod board;
mod choice;
mod limiter;
mod refusal;
mod report;

pub use board::LimitBoard;
pub use choice::choose_boards;
pub use limiter::WorkspaceLimiter;
pub use refusal::{LimitKind, LimitRefusal};
pub use report::{LimitReport, LimitTotals, LimitUse, MAX_LIMITED_WORKSPACES};
