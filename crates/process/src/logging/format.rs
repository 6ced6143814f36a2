//! Log output formats.

use std::str::FromStr;

use snafu::Snafu;

/// Log output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per message.
    Text,
    /// One JSON object per message.
    Json,
}

/// The text is not a known log format.
#[derive(Debug, Snafu)]
#[snafu(display("expected `text` or `json`"))]
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
