//! Sharing of the store's change feed within a failure domain.
//!
//! A few entries of each domain follow the store's tables and pass the changes
//! on. The load on the store then grows with the number of domains instead of
//! the number of entries.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::ids::StoreVersion;

/// Number of entries of a failure domain that follow the store, so that the loss
/// of one delays no change.
const FOLLOWERS_PER_DOMAIN: usize = 2;

/// Versions of a table between which nothing has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPosition {
    /// Version of the last change, or of the snapshot with which the entry began.
    pub unchanged_since: StoreVersion,
    /// Version up to which the entry has received all changes.
    pub position: StoreVersion,
}

/// Positions of an entry that follows the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPositions {
    /// Position in the configuration.
    pub config: FeedPosition,
    /// Position in the backend server list.
    pub backends: FeedPosition,
}

/// A table that entries follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowedTable {
    /// The configuration.
    Config,
    /// The list of backend servers.
    Backends,
}

/// Changes of a table that an entry passes on to its neighbors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The table.
    pub table: FollowedTable,
    /// Version after which the changes follow: there are no others between it and
    /// `version`.
    pub after: StoreVersion,
    /// Version up to which the changes are complete.
    pub version: StoreVersion,
    /// The changed rows, oldest first.
    pub rows: Vec<ChangedRow>,
}

/// A row that was written or removed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedRow {
    /// Key of the row.
    pub key: CompactString,
    /// Content of the row; `None` if it was removed.
    #[serde_as(as = "Option<serde_with::Bytes>")]
    pub value: Option<Vec<u8>>,
    /// Number of the transaction that wrote it, in the era of the changes.
    pub number: u64,
}

/// Whether an entry has to follow the store itself, given the number of live
/// neighbors that follow it successfully and precede this entry in the order of
/// ids.
pub const fn must_follow(preceding_followers: usize) -> bool {
    preceding_followers < FOLLOWERS_PER_DOMAIN
}
