//! Reference to one incarnation of an agent.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::IncarnationId;

/// Counter within an incarnation, incremented whenever the agent discards old
/// deduplication records.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Address, incarnation and epoch of an agent, as stored in a claim.
///
/// A replacement instance may reuse the address, but never the incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AgentRef {
    /// Address of the agent's internal RPC service.
    pub address: SocketAddr,
    /// Identifies one start of the agent process.
    pub incarnation: IncarnationId,
    /// Epoch of the incarnation when the reference was created.
    pub epoch: Epoch,
}

impl fmt::Display for AgentRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}.{}", self.address, self.incarnation, self.epoch.0)
    }
}
