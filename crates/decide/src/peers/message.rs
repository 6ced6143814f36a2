//! Messages that entries send to each other.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{BackendId, DomainId, EntryId, IncarnationId};

/// Hash of a backend server's id, used in messages to save space.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendHash(pub u64);

impl From<&BackendId> for BackendHash {
    fn from(id: &BackendId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }
}

/// Load that one entry puts on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// The backend server.
    pub backend: BackendHash,
    /// Requests in progress.
    pub in_flight: u32,
    /// Context tokens of the requests in progress.
    pub tokens: u32,
}

/// Periodic status message of one entry to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: EntryId,
    /// Incarnation of the sender's process.
    pub incarnation: IncarnationId,
    /// Sequence number, incremented for each message of an incarnation. A
    /// message that is not newer than the last one is ignored.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Whether the sender is draining and accepts no more callers.
    pub leaving: bool,
    /// Version of the newest configuration change known to the sender.
    pub config_newest: u64,
    /// Version of the newest change of the backend server list known to the
    /// sender.
    pub list_newest: u64,
    /// Version of the lease row if the sender holds the planner's lease.
    #[serde(rename = "plans")]
    pub planner_lease_version: Option<u64>,
    /// Load on each backend server. Backend servers without load are omitted.
    pub loads: Vec<BackendLoad>,
    /// Traffic on the links between failure domains. Unused links are omitted.
    pub links: Vec<LinkLoad>,
}

/// Traffic of one entry on the link between two failure domains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkLoad {
    /// One failure domain.
    pub a: DomainId,
    /// The other failure domain.
    pub b: DomainId,
    /// Traffic in bytes per ms.
    pub bytes_per_ms: f64,
}
