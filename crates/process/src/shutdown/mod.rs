//! Graceful shutdown: the first signal starts a drain, the second exits the
//! process immediately.

mod drain;
mod signals;

pub use drain::{Drain, InProgressGuard};
pub use signals::watch_signals;
