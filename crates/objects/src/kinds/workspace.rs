//! Workspaces and their limits.

use serde::{Deserialize, Serialize};

use super::TokenDigest;
use crate::{Millis, ModelName, PriorityName, RouteName, WorkspaceName};

/// A group of callers that share bearer tokens, limits and permissions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Digests of the accepted bearer tokens; two during token rotation.
    pub token_sha256: Vec<TokenDigest>,
    /// Default priority, for requests without a priority header.
    pub priority: PriorityName,
    /// Default timeout, for requests without a deadline.
    pub deadline: Millis,
    /// Models that the workspace is allowed to use.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Routes that the workspace is allowed to use.
    #[serde(default)]
    pub routes: Vec<RouteName>,
    /// Limits of the workspace across all entries.
    #[serde(default)]
    pub limits: WorkspaceLimits,
}

/// Limits of a workspace across all entries; `None` means unlimited.
///
/// A request that exceeds a limit is refused with 429 and has not run. Entries divide the
/// limits by demand, and can exceed them together by what changes between two exchanges
/// (0.15 to 0.3 s).
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkspaceLimits {
    /// Maximum number of requests started per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Maximum number of concurrent requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
}
