//! The row of a claim in the table service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use clementine_objects::{RouteName, WorkspaceName};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::base64::{Base64, Standard};
use serde_with::formats::Padded;
use serde_with::{DeserializeFromStr, SerializeDisplay, serde_as};
use xxhash_rust::xxh3::xxh3_128;

use crate::dedup::WorkTag;
use crate::ids::{AgentRef, WorkId};

/// Key of a claim: an idempotency key within a workspace and route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Route of the request.
    pub route: RouteName,
    /// The caller's `Idempotency-Key`.
    pub key: CompactString,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.workspace, self.route, self.key)
    }
}

/// XXH3-128 of a request's method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct RequestDigest(pub u128);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl RequestDigest {
    /// Digest of a request.
    pub fn compute(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes()] {
            hasher.update(&xxh3_128(part).to_be_bytes());
        }
        hasher.update(body);
        Self(hasher.digest128())
    }
}

/// What a backend server answered, as kept for repetitions of the request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, empty when absent.
    pub content_type: CompactString,
    /// The body.
    #[serde_as(as = "Base64<Standard, Padded>")]
    pub body: Vec<u8>,
}

/// What is known of a claimed operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The agent named in the row may run the operation.
    Held,
    /// The operation ran with this answer.
    Ran(RecordedResponse),
    /// It will never be known whether the operation ran.
    Unknown,
}

/// The row of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the claimed request.
    pub digest: RequestDigest,
    /// Token of the claim: the work id that the agent may run.
    pub token: WorkId,
    /// The only agent that may run the token.
    pub agent: AgentRef,
    /// What is known of the operation.
    pub state: ClaimState,
}

impl ClaimRow {
    /// The work that the row permits, as the agent's gate knows it.
    pub const fn tag(&self) -> WorkTag {
        WorkTag::new(self.token, &self.agent)
    }
}
