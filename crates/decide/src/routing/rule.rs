//! One route.

use clementine_objects::Millis;
use compact_str::CompactString;

use crate::ids::PoolId;

/// What a route's requests are and what may be done again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent.
    Safe,
    /// Not idempotent: at most one run.
    Once,
    /// An event stream.
    Stream {
        /// Whether another backend server can go on after the last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may run again after it may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: CompactString,
    /// Host of the requests.
    pub host: CompactString,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: CompactString,
    /// What the requests are.
    pub kind: RequestKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Millis,
    /// Time within which an answer, or a stream's first event, is on time.
    pub target: Millis,
    /// Longest pause between two events for which a stream is on time.
    pub target_gap: Option<Millis>,
    /// Rank from 0 (first).
    pub priority: u8,
    /// Pools that share the requests.
    pub pools: Vec<WeightedPool>,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// A pool's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// Its part, against the sum over all pools of the route.
    pub weight: u32,
}

impl RouteRule {
    /// The pool that a number drawn evenly from all 64-bit numbers selects.
    pub fn pool_for(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self.pools.iter().map(|part| u64::from(part.weight)).sum();
        let mut rest = if total == 0 { 0 } else { draw % total };
        for part in &self.pools {
            let weight = u64::from(part.weight);
            if rest < weight {
                return Some(&part.pool);
            }
            rest -= weight;
        }
        self.pools.first().map(|part| &part.pool)
    }
}
