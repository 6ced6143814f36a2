//! All objects at one revision, and the changes between revisions.

mod change;
mod digest;
mod snapshot;
mod whole;

pub use change::{Change, ChangeConflict, ChangeRecord};
pub use digest::CatalogDigest;
pub use snapshot::{Snapshot, SnapshotError};
pub use whole::Catalog;
