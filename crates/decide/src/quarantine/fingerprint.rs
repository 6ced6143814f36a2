//! Content hash that identifies a request.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// XXH3-128 of a request's workspace, path and body. Retries of a request
/// have the same fingerprint, whatever their request ids and entries are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of_request(workspace: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(workspace.as_bytes());
        hasher.update(&[0]);
        hasher.update(path.as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        Self(hasher.digest128())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
