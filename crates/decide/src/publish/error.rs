//! Why a change was not accepted.

use clementine_objects::{ChangeConflict, ChangeId, SnapshotError, ValidationError};
use snafu::Snafu;

/// Why a change was not accepted.
#[derive(Debug, Snafu)]
pub enum PublishError {
    /// The catalog after the change would have faults.
    #[snafu(display("the change has {} faults", faults.len()))]
    Faulty {
        /// All faults.
        faults: Vec<ValidationError>,
    },
    /// Another change has touched the same object since the base revision.
    #[snafu(display("{conflict}"))]
    Conflict {
        /// The object and the rival.
        conflict: ChangeConflict,
    },
    /// The change does nothing.
    #[snafu(display("the change does nothing"))]
    Empty,
    /// The table service gave no answer; the change was not accepted.
    #[snafu(display("the table service gave no answer, the change was not accepted"))]
    Unavailable,
    /// The answer to the write was lost; the change may have been accepted.
    #[snafu(display("the table service's answer was lost, look for change {id} in the history"))]
    Unclear {
        /// Identity under which the change stands in the history, if it does.
        id: ChangeId,
    },
    /// The history does not follow on from the snapshot held.
    #[snafu(display("the history can't be followed: {source}"), context(false))]
    History {
        /// Cause.
        source: SnapshotError,
    },
}
