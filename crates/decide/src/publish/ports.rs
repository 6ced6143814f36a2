//! The interface to the table service that publishing needs.

use clementine_objects::{CatalogDigest, ChangeId, ChangeRecord, Revision};
use serde::{Deserialize, Serialize};

use crate::operation::StoreCallError;

/// The head row, which points at the newest accepted revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The revision.
    pub revision: Revision,
    /// Digest of the catalog at this revision.
    pub digest: CatalogDigest,
    /// The change that produced this revision.
    pub change: ChangeId,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendReply {
    /// The change was appended and the head now points at it.
    Written,
    /// The head was not at the preceding revision; nothing was written.
    Conflict,
}

/// The configuration history in the table service.
///
/// Implementations make a single attempt per call and enforce their own
/// timeout.
#[expect(
    async_fn_in_trait,
    reason = "implementations are single-threaded and need no `Send` bound"
)]
pub trait ConfigStore {
    /// Reads the head row; `None` before the first change.
    async fn head(&self) -> Result<Option<ConfigHead>, StoreCallError>;

    /// Atomically appends a change and moves the head to it, provided that the
    /// head is at the preceding revision.
    async fn append(&self, record: &ChangeRecord) -> Result<AppendReply, StoreCallError>;

    /// Reads the changes with `after < revision <= up_to`, in order.
    async fn changes(
        &self,
        after: Revision,
        up_to: Revision,
    ) -> Result<Vec<ChangeRecord>, StoreCallError>;
}
