//! The objects of a revision, and changes between revisions.

mod change;
mod contents;
mod digest;
mod snapshot;

pub use change::{Change, ChangeConflict, ChangeRecord};
pub use contents::Catalog;
pub use digest::CatalogDigest;
pub use snapshot::{Snapshot, SnapshotError};
