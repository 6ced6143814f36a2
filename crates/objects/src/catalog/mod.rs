//! All objects at one revision, and the changes between revisions.

mod change;
mod contents;
mod digest;
mod snapshot;

pub use change::{Change, ChangeConflict, ChangeRecord};
pub use contents::Catalog;
pub use digest::CatalogDigest;
pub use snapshot::{Snapshot, SnapshotError};
