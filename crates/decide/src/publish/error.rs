//! Errors of publishing.

use clementine_objects::{ChangeConflict, ChangeId, SnapshotError, ValidationError};
use snafu::Snafu;

/// Why publishing a change failed.
#[derive(Debug, Snafu)]
pub enum PublishError {
    /// The catalog would be invalid after the change.
    #[snafu(display("catalog validation failed with {} errors", errors.len()))]
    InvalidCatalog {
        /// All validation errors.
        errors: Vec<ValidationError>,
    },
    /// A concurrent change has modified the same object since the base revision.
    #[snafu(display("{conflict}"))]
    Conflict {
        /// The object and the concurrent change.
        conflict: ChangeConflict,
    },
    /// The change has no effect on the current catalog.
    #[snafu(display("the change has no effect on the current catalog"))]
    NoChange,
    /// The table service did not respond; the change was not accepted.
    #[snafu(display("the table service did not respond; the change was not accepted"))]
    Unavailable,
    /// The response to the write was lost; the change may have been accepted.
    #[snafu(display(
        "the response of the table service was lost; check the history for change {id}"
    ))]
    Indeterminate {
        /// Id under which the change appears in the history if it was accepted.
        id: ChangeId,
    },
    /// The history does not continue from the local snapshot.
    #[snafu(display("cannot apply the configuration history: {source}"), context(false))]
    History {
        /// The underlying error.
        source: SnapshotError,
    },
}
