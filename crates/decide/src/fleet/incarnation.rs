//! Identity of one start of a backend server, in messages between entries.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::Backend;

/// Hash of a backend server's id and start time. A server that restarts under its
/// id gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendIncarnation(pub u64);

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
