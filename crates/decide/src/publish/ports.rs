//! What publication needs from the table service.

use clementine_objects::{CatalogDigest, ChangeId, ChangeRecord, Revision};
use serde::{Deserialize, Serialize};

use crate::operation::StoreCallError;

/// The head row: the newest accepted revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The revision.
    pub revision: Revision,
    /// Digest of its catalog.
    pub digest: CatalogDigest,
    /// Change that produced it.
    pub change: ChangeId,
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendReply {
    /// The change was appended and the head moved to it.
    Written,
    /// The head was not at the expected revision.
    Conflict,
}

/// The configuration's history in the table service.
///
/// Each call tries once, within a time limit of the implementation.
#[expect(async_fn_in_trait, reason = "drivers are single-threaded")]
pub trait ConfigStore {
    /// Reads the head; `None` before the first change.
    async fn head(&self) -> Result<Option<ConfigHead>, StoreCallError>;

    /// Appends a change and moves the head to it, both or neither, if the
    /// head is at the revision before it.
    async fn append(&self, record: &ChangeRecord) -> Result<AppendReply, StoreCallError>;

    /// Reads the changes after a revision, in order, up to and including
    /// another.
    async fn changes(
        &self,
        after: Revision,
        up_to: Revision,
    ) -> Result<Vec<ChangeRecord>, StoreCallError>;
}
