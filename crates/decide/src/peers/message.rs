//! What one entry tells the others.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{BackendId, DomainId, EntryId, IncarnationId};

/// Short form of a backend server's identity, for messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendTag(pub u64);

impl From<&BackendId> for BackendTag {
    fn from(id: &BackendId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }
}

/// Work of one entry at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// The backend server.
    pub backend: BackendTag,
    /// Requests in progress.
    pub in_flight: u32,
    /// Tokens of context that they take.
    pub tokens: u32,
}

/// What one entry tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Who tells.
    pub from: EntryId,
    /// Start of the process that tells.
    pub incarnation: IncarnationId,
    /// Grows with each message of a process; older ones are passed over.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Whether the process is stopping and takes no more callers.
    pub leaving: bool,
    /// Version of the newest change of the configuration that is known.
    pub config_newest: u64,
    /// Version of the newest change of the list of backend servers that is
    /// known.
    pub list_newest: u64,
    /// Version of the lease's row with which the process holds the planner's
    /// lease, if it does.
    #[serde(rename = "plans")]
    pub planner_lease_version: Option<u64>,
    /// Work at each backend server where there is any. One that is not named
    /// has none.
    pub loads: Vec<BackendLoad>,
    /// Use of the links between failure domains. One that is not named is not
    /// used.
    pub links: Vec<LinkLoad>,
}

/// Use of one link between failure domains by one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkLoad {
    /// One failure domain.
    pub a: DomainId,
    /// The other failure domain.
    pub b: DomainId,
    /// Bytes per ms.
    pub bytes_per_ms: f64,
}
