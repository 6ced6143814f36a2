//! Reads the processes' log lines and follows one request through them.

mod line;
mod timeline;

pub use line::LogLine;
pub use timeline::{RequestTimeline, TimelineEntry};
