//! Routing rules.

use clementine_objects::Millis;
use compact_str::CompactString;

use crate::ids::PoolId;

/// Kind of a route's requests, which determines whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent requests.
    Idempotent,
    /// Requests that are not idempotent and run at most once.
    NonIdempotent,
    /// An event stream.
    Stream {
        /// Whether another backend server can resume the stream after the last
        /// event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may already have run may be run again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: CompactString,
    /// Host that requests have to match.
    pub host: CompactString,
    /// Path prefix that requests have to match. Begins and ends with a slash.
    pub prefix: CompactString,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Maximum duration of a request.
    pub timeout: Millis,
    /// Target latency of a response, or of the first event of a stream.
    pub target_latency: Millis,
    /// Target for the maximum gap between two events of a stream.
    pub target_gap: Option<Millis>,
    /// Priority from 0 (highest).
    pub priority: u8,
    /// Pools between which the requests are split.
    pub pools: Vec<WeightedPool>,
    /// Maximum number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub public: bool,
    /// Whether requests that have the beginning of their prompts in common should run
    /// on the same servers.
    pub sticky: bool,
}

/// A pool with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// Weight, relative to the sum over all pools of the route.
    pub weight: u32,
}

impl RouteRule {
    /// Selects a pool by weight, given a uniformly distributed number.
    pub fn pool_for(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self.pools.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut remaining = if total == 0 { 0 } else { draw % total };
        for weighted in &self.pools {
            let weight = u64::from(weighted.weight);
            if remaining < weight {
                return Some(&weighted.pool);
            }
            remaining -= weight;
        }
        self.pools.first().map(|weighted| &weighted.pool)
    }
}
