//! Errors of the commands.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ReplayError {
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A line of a file is not understood.
    #[snafu(display("{}: line {line}: {source}", path.display()))]
    Line {
        /// The file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// A target can't be used.
    #[snafu(display("{target} gave no usable answer: {message}"))]
    Target {
        /// Base URL.
        target: String,
        /// Cause.
        message: String,
    },
    /// The histogram can't be made.
    #[snafu(display("the histogram can't be made: {source}"), context(false))]
    Histogram {
        /// Cause.
        source: hdrhistogram::CreationError,
    },
    /// A time does not fit the histogram.
    #[snafu(display("a time can't be recorded: {source}"), context(false))]
    Record {
        /// Cause.
        source: hdrhistogram::RecordError,
    },
}
