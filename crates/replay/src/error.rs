//! Errors of the commands.

use std::path::PathBuf;

use snafu::Snafu;

/// Error returned by a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ReplayError {
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// A line of a file is not valid JSON or has the wrong fields.
    #[snafu(display("{}: line {line}: {source}", path.display()))]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Underlying error.
        source: serde_json::Error,
    },
    /// A target did not respond as expected.
    #[snafu(display("invalid response from {target}: {message}"))]
    Target {
        /// Base URL of the target.
        target: String,
        /// What is wrong with the response.
        message: String,
    },
    /// The latency histogram could not be created.
    #[snafu(display("failed to create the latency histogram: {source}"), context(false))]
    Histogram {
        /// Underlying error.
        source: hdrhistogram::CreationError,
    },
    /// A latency is out of the range of the histogram.
    #[snafu(display("failed to record a latency: {source}"), context(false))]
    Record {
        /// Underlying error.
        source: hdrhistogram::RecordError,
    },
}
