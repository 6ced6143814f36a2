//! Logs: one line each, with a fixed prefix for each part of the system.

mod format;
mod start;

pub use format::LogFormat;
pub use start::{LogTarget, LoggingError, start_logging};
