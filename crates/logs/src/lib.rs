//! Parses the log lines of the processes and collects those that concern one
//! request.

mod line;
mod timeline;

pub use line::LogLine;
pub use timeline::{RequestTimeline, TimelineEntry};
