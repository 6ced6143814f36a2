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
    File {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The objects have faults.
    #[snafu(display("{} faults found:\n{}", faults.len(), faults.join("\n")))]
    Faulty {
        /// One line for each fault.
        faults: Vec<String>,
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
    Unclear {
        /// Identity of the change.
        id: ChangeId,
    },
    /// The server's answer is not understood.
    #[snafu(display("{server}: the answer is not understood: {message}"))]
    Answer {
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
    Name {
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
    Write {
        /// Cause.
        message: String,
    },
    /// Instances did not report the revision in time.
    #[snafu(display("{behind} instances have not reported the revision in time"))]
    Behind {
        /// Number of instances.
        behind: usize,
    },
}

impl CliError {
    /// Exit code by kind, as the operators' page lists them.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::File { .. } | Self::Write { .. } | Self::Name { .. } => 2,
            Self::Faulty { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Unavailable { .. } | Self::Answer { .. } | Self::History { .. } => 5,
            Self::Unclear { .. } => 6,
            Self::NotFound { .. } => 7,
            Self::Behind { .. } => 8,
        })
    }
}
