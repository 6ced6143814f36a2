//! Claim rows in the table service.

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
    /// Value of the caller's `Idempotency-Key` header.
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
    /// Computes the digest of a request.
    ///
    /// Method and path enter as fixed-size hashes, so no delimiters are needed.
    pub fn compute(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes()] {
            hasher.update(&xxh3_128(part).to_be_bytes());
        }
        hasher.update(body);
        Self(hasher.digest128())
    }
}

/// A backend server's response, stored in order to respond to retries of the
/// request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, empty when absent.
    pub content_type: CompactString,
    /// Response body.
    #[serde_as(as = "Base64<Standard, Padded>")]
    pub body: Vec<u8>,
}

/// State of a claimed operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The agent named in the row may execute the operation, or has done so.
    Held,
    /// The operation was executed, with this response.
    Ran(RecordedResponse),
    /// It cannot be determined whether the operation was executed.
    Unknown,
}

/// A row of the claim table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the claimed request.
    pub digest: RequestDigest,
    /// Fencing token of the claim: the work id that the agent may execute.
    pub token: WorkId,
    /// The only agent that may execute the work id.
    pub agent: AgentRef,
    /// State of the operation.
    pub state: ClaimState,
}

impl ClaimRow {
    /// The tag under which the agent's deduplication table knows the work.
    pub const fn tag(&self) -> WorkTag {
        WorkTag::new(self.token, &self.agent)
    }
}
