//! Shutdown: the first signal drains, the second ends the process.

mod drain;
mod signals;

pub use drain::{Drain, InProgressGuard};
pub use signals::watch_signals;
