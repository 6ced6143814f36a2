//! Errors of the commands, and their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use clementine_objects::{ChangeId, NameError, SnapshotError};
use snafu::Snafu;

/// Error returned by a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// Objects could not be parsed, or the configuration would be invalid.
    #[snafu(display("{} faults found:\n{}", errors.len(), errors.join("\n")))]
    Invalid {
        /// One line per error.
        errors: Vec<String>,
    },
    /// A concurrent change has modified the same object.
    #[snafu(display("{message}"))]
    Conflict {
        /// The object and the concurrent change.
        message: String,
    },
    /// A server did not respond or rejected the request.
    #[snafu(display("{server}: {message}"))]
    Unavailable {
        /// Address of the server.
        server: String,
        /// Description of the error.
        message: String,
    },
    /// The response to a change was lost; the change may have been accepted.
    #[snafu(display(
        "it is not known whether the change was accepted; look for change {id} in the history"
    ))]
    Indeterminate {
        /// Id under which the change appears in the history if it was accepted.
        id: ChangeId,
    },
    /// The body of a response is not valid JSON or has the wrong fields.
    #[snafu(display("{server}: malformed response: {message}"))]
    MalformedResponse {
        /// Address of the server.
        server: String,
        /// Description of the error.
        message: String,
    },
    /// The object or revision does not exist.
    #[snafu(display("there is no {object}"))]
    NotFound {
        /// Kind and name of the object, or the revision.
        object: String,
    },
    /// An object name is invalid.
    #[snafu(transparent)]
    InvalidName {
        /// Underlying error.
        source: NameError,
    },
    /// The history could not be replayed.
    #[snafu(transparent)]
    History {
        /// Underlying error.
        source: SnapshotError,
    },
    /// The output could not be serialized.
    #[snafu(display("failed to serialize the output: {message}"))]
    Serialize {
        /// Description of the error.
        message: String,
    },
    /// Some instances did not report the revision before the timeout.
    #[snafu(display("timed out: {behind} instances have not reported the revision"))]
    WatchTimeout {
        /// Number of instances that did not report it.
        behind: usize,
    },
}

impl CliError {
    /// Returns the exit code. The codes are listed in the operators' page and in
    /// the help text.
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
