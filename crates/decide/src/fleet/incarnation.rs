//! Identity of one start of a backend server, in messages between entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::Backend;
use crate::ids::{IncarnationId, WorkId};

/// Hash of a backend server's id and start time. A server that restarts under its
/// id gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendIncarnation(pub u64);

impl BackendIncarnation {
    /// The server behind an agent, from one proof of its liveness to the next. The agent
    /// does not see whether the process was replaced in between.
    pub fn behind_agent(agent: SocketAddr, incarnation: IncarnationId, proof: u64) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(agent.to_string().as_bytes());
        hasher.update(&incarnation.0.to_le_bytes());
        hasher.update(&proof.to_le_bytes());
        Self(hasher.digest())
    }

    /// An unknown server on the path of a split model, which was lost while it ran this
    /// work.
    pub fn lost_with(work: WorkId) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(b"work");
        hasher.update(&work.0.to_le_bytes());
        Self(hasher.digest())
    }
}

impl From<&Backend> for BackendIncarnation {
    fn from(backend: &Backend) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(backend.id.as_str().as_bytes());
        // A server that does not report its start differs from one that does.
        if let Some(started_ms) = backend.started_ms {
            hasher.update(&started_ms.to_le_bytes());
        }
        Self(hasher.digest())
    }
}
