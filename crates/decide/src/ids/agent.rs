//! Identity of an agent at one time.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::IncarnationId;

/// Counter of an incarnation, raised whenever the agent forgets old records.
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

/// An agent as a claim names it: where it is and which start of it is meant.
///
/// Addresses are re-used by replaced instances; the incarnation is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AgentRef {
    /// Address of the agent's internal service.
    pub address: SocketAddr,
    /// The start of the agent process.
    pub incarnation: IncarnationId,
    /// Epoch of the incarnation when the reference was made.
    pub epoch: Epoch,
}

impl fmt::Display for AgentRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}.{}", self.address, self.incarnation, self.epoch.0)
    }
}
