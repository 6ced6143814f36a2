//! Reads the processes' log lines and follows one request through them.

mod line;
mod story;

pub use line::LogLine;
pub use story::{Story, StoryLine};
