//! Routes to HTTP services.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Millis, PoolName, RouteName};

/// Routes requests under a path prefix to the backend servers of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Path prefix, such as `/orders`; matched by whole path segments.
    pub path: CompactString,
    /// Pool that handles the requests.
    pub pool: PoolName,
    /// Whether a request may be retried after an unknown outcome.
    pub repeat: Repeat,
    /// Maximum duration of a request.
    pub timeout: Millis,
}

impl Route {
    /// Returns whether a request path is under the route's prefix.
    pub fn matches(&self, path: &str) -> bool {
        let rest = path.strip_prefix(self.path.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Whether a request may be retried when its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: executing the request twice is harmless.
    Safe,
    /// Not idempotent: executed at most once per idempotency key.
    Never,
}
