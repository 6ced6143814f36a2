//! A route to a plain service.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Millis, PoolName, RouteName};

/// A path prefix whose requests go to the backend servers of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Path prefix, such as `/orders`; it matches whole path segments.
    pub path: CompactString,
    /// Pool that serves the route.
    pub pool: PoolName,
    /// Whether a request may be run again.
    pub repeat: Repeat,
    /// Longest time that a request of the route may take.
    pub timeout: Millis,
}

impl Route {
    /// Whether a request path lies under the route's prefix.
    pub fn matches(&self, path: &str) -> bool {
        let rest = path.strip_prefix(self.path.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Whether a request may be run again when its outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: running it twice does no harm.
    Safe,
    /// Not idempotent: at most one run for each idempotency key.
    Never,
}
