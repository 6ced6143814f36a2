//! Formats of the log.

use std::str::FromStr;

use snafu::Snafu;

/// Format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text for each message.
    Text,
    /// One JSON object for each message.
    Json,
}

/// A text that names no log format.
#[derive(Debug, Snafu)]
#[snafu(display("a log format is `text` or `json`"))]
pub struct LogFormatError;

impl FromStr for LogFormat {
    type Err = LogFormatError;

    fn from_str(text: &str) -> Result<Self, LogFormatError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(LogFormatError),
        }
    }
}
