//! Messages that entries send to each other.

use std::net::SocketAddr;

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{FeedPositions, Sighting, TableChanges};
use crate::ids::{BackendId, DomainId, EntryId, IncarnationId, StoreVersion};
use crate::quarantine::CrashReport;
use crate::retry::{SlackAnswer, SlackRecall, SlackReport};
use crate::shares::ShareStatus;
use crate::signals::SignalReport;

/// Hash of a backend server's id, used in messages to save space.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendHash(pub u64);

impl From<&BackendId> for BackendHash {
    fn from(id: &BackendId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }
}

/// Load on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// The backend server.
    pub backend: BackendHash,
    /// Requests in progress.
    pub in_flight: u32,
    /// Context tokens of the requests in progress.
    pub tokens: u32,
    /// How many of the requests in progress begin there, and so occupy a slot; at most
    /// `in_flight`.
    #[serde(default)]
    pub first_stages: u32,
}

/// Traffic on the link between two failure domains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkLoad {
    /// One failure domain.
    pub a: DomainId,
    /// The other failure domain.
    pub b: DomainId,
    /// Traffic in bytes per ms.
    pub bytes_per_ms: f64,
}

/// Load that one entry, or all entries of a failure domain, cause.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStatus {
    /// Load on each backend server. Backend servers without load are omitted.
    pub backends: Vec<BackendLoad>,
    /// Traffic on the links between failure domains. Unused links are omitted.
    pub links: Vec<LinkLoad>,
    /// Work of workspaces in the pools whose capacity is scarce. Takes no space while
    /// there are none; must stay the last field, which may be absent.
    #[serde(default, skip_serializing_if = "ShareStatus::is_empty")]
    pub shares: ShareStatus,
}

/// Content of a datagram between two entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// Periodic status message.
    Status(Box<PeerMessage>),
    /// Changes of a store table, passed on to the neighbors.
    Changes(TableChanges),
    /// Condition of a backend server.
    Sighting(Sighting),
    /// What is known of a suspect of crashes, for all entries.
    Crashes(CrashReport),
    /// Slack of retry budgets that the sender uses.
    SlackReport(SlackReport),
    /// Question about the slack that the sender's last process used.
    SlackRecall(SlackRecall),
    /// Answer to that question.
    SlackAnswer(SlackAnswer),
}

/// Periodic status message of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: EntryId,
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Incarnation of the sender's process.
    pub incarnation: IncarnationId,
    /// Sequence number, incremented for each message of an incarnation. A
    /// message that is not newer than the last one is ignored.
    pub sequence: u64,
    /// Time until the sender's next message.
    pub interval: Millis,
    /// Version of the newest configuration change known to any entry that the
    /// sender has heard of.
    pub config_newest: StoreVersion,
    /// Likewise for the backend server list.
    pub list_newest: StoreVersion,
    /// The holder of the planner's lease, as the sender knows it.
    pub planner: Option<PlannerAnnouncement>,
    /// Requests that were running when backend servers crashed.
    pub crashes: Vec<CrashReport>,
    /// What backend servers say about the requests that they accept.
    pub signals: Vec<SignalReport>,
    /// What the message reports on.
    pub report: PeerReport,
}

/// Announcement of the holder of the planner's lease, which other entries pass
/// on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerAnnouncement {
    /// The holder.
    pub holder: EntryId,
    /// Version of the lease row that the holder has written.
    pub lease_version: StoreVersion,
    /// Time since the holder announced it.
    pub age: Millis,
}

/// A configuration that an entry has in force and gives to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigOffer {
    /// The operator's version of the configuration.
    pub version: u64,
    /// Address from which to fetch it by HTTP.
    pub address: SocketAddr,
}

/// What a message reports on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReport {
    /// The sender; sent to the entries of its failure domain.
    Entry {
        /// Whether the sender is draining and accepts no more callers.
        leaving: bool,
        /// Positions in the store's tables, if the sender follows them and the
        /// store has responded recently.
        feed: Option<FeedPositions>,
        /// The sender's configuration, if it has one.
        config: Option<ConfigOffer>,
        /// Load that the sender causes.
        load: LoadStatus,
    },
    /// All entries of the sender's failure domain that it knows, including
    /// itself; sent to entries of other failure domains.
    Domain(DomainSummary),
}

/// The entries of a failure domain and their load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// Number of live entries.
    pub live: u32,
    /// Number of entries that accept callers.
    pub serving: u32,
    /// Load that the entries cause.
    pub load: LoadStatus,
}
