//! The error of all commands and its exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use clementine_objects::{ChangeId, NameError, SnapshotError};
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The objects have faults.
    #[snafu(display("{} faults found:\n{}", errors.len(), errors.join("\n")))]
    Invalid {
        /// One line for each fault.
        errors: Vec<String>,
    },
    /// Another change has touched the same object.
    #[snafu(display("{message}"))]
    Conflict {
        /// The object and the rival.
        message: String,
    },
    /// No server gave an answer.
    #[snafu(display("{server}: {message}"))]
    Unavailable {
        /// The server.
        server: String,
        /// Cause.
        message: String,
    },
    /// The change may have been accepted.
    #[snafu(display(
        "it is not known whether the change was accepted; look for change {id} in the history"
    ))]
    Indeterminate {
        /// Identity of the change.
        id: ChangeId,
    },
    /// The server's answer is not understood.
    #[snafu(display("{server}: the answer is not understood: {message}"))]
    MalformedResponse {
        /// The server.
        server: String,
        /// Cause.
        message: String,
    },
    /// There is no such object.
    #[snafu(display("there is no {object}"))]
    NotFound {
        /// Kind and name.
        object: String,
    },
    /// A name is not valid.
    #[snafu(transparent)]
    InvalidName {
        /// Cause.
        source: NameError,
    },
    /// The history can't be followed.
    #[snafu(transparent)]
    History {
        /// Cause.
        source: SnapshotError,
    },
    /// Objects can't be written as text.
    #[snafu(display("the objects can't be written: {message}"))]
    Serialize {
        /// Cause.
        message: String,
    },
    /// Instances did not report the revision in time.
    #[snafu(display("{behind} instances have not reported the revision in time"))]
    WatchTimeout {
        /// Number of instances.
        behind: usize,
    },
}

impl CliError {
    /// Exit code by kind, as the operators' page lists them.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Io { .. } | Self::Serialize { .. } | Self::InvalidName { .. } => 2,
            Self::Invalid { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Unavailable { .. } | Self::MalformedResponse { .. } | Self::History { .. } => 5,
            Self::Indeterminate { .. } => 6,
            Self::NotFound { .. } => 7,
            Self::WatchTimeout { .. } => 8,
        })
    }
}
