//! Logging. The text of each message is a single line that starts with the name
//! of the component that logs it.

mod format;
mod interval;
mod pipe;
mod start;

pub use format::LogFormat;
pub use interval::LogInterval;
pub use pipe::PipeOutput;
pub use start::{LogTarget, LoggingError, start_logging};
