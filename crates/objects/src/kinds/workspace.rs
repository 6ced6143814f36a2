//! A workspace of callers.

use serde::{Deserialize, Serialize};

use super::TokenDigest;
use crate::{Millis, ModelName, PriorityName, RouteName, WorkspaceName};

/// A group of callers that share a token, limits and permissions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Digests of the accepted bearer tokens; two during a token change.
    pub token_sha256: Vec<TokenDigest>,
    /// Priority of requests that name none.
    pub priority: PriorityName,
    /// Time that a request may take when the caller gives no deadline.
    pub deadline: Millis,
    /// Models that the workspace may use.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Routes that the workspace may use.
    #[serde(default)]
    pub routes: Vec<RouteName>,
    /// Limits enforced for the workspace as a whole, across all entries.
    #[serde(default)]
    pub limits: WorkspaceLimits,
}

/// Limits of a workspace across all entries; an absent limit is not enforced.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkspaceLimits {
    /// Requests started in one second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Requests in progress at one time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
}
