//! Hashes that name pools and workspaces in messages.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{PoolId, WorkspaceId};

/// Hash of a pool's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolHash(pub u32);

impl From<&PoolId> for PoolHash {
    fn from(id: &PoolId) -> Self {
        Self(hash(id.as_str()))
    }
}

/// Hash of a workspace's name. Workspaces whose hashes collide share one share; with
/// 40 workspaces the probability is 2 in 10 million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkspaceHash(pub u32);

impl WorkspaceHash {
    /// Requests without a workspace, which share one share.
    pub const NONE: Self = Self(0);
}

impl From<&WorkspaceId> for WorkspaceHash {
    fn from(id: &WorkspaceId) -> Self {
        Self(hash(id.as_str()))
    }
}

impl From<Option<&WorkspaceId>> for WorkspaceHash {
    fn from(id: Option<&WorkspaceId>) -> Self {
        id.map_or(Self::NONE, Self::from)
    }
}

/// A workspace in a pool. Each pool has shares of its own, because the servers of one
/// pool cannot serve the requests of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareKey {
    /// The pool.
    pub pool: PoolHash,
    /// The workspace.
    pub workspace: WorkspaceHash,
}

fn hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
