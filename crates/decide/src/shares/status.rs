//! Sums of offered and admitted work in status messages.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{Bytes, DeserializeAs, SerializeAs};

use super::{PoolHash, WorkspaceHash};

/// Maximum number of workspaces in one message, over all pools.
pub const MAX_REPORTED_SHARES: usize = 64;
/// Encoded size of a [`WorkspaceShare`].
const ENCODED_BYTES: usize = 12;

/// Work of one workspace in a pool, decayed over 2 s, in units of
/// [`WorkCost`](super::WorkCost).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceShare {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Offered work: requests that arrived, whether or not they were admitted.
    pub demand: f32,
    /// Admitted work.
    pub admitted: f32,
}

/// Work in one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolShares {
    /// The pool.
    pub pool: PoolHash,
    /// Whether the entries reported on have found capacity to be scarce themselves.
    /// What they only heard of does not count, so that reports cannot keep each other
    /// alive.
    pub scarce: bool,
    /// The workspaces with the most work. Encoded with 12 bytes each.
    #[serde(with = "packed")]
    pub workspaces: Vec<WorkspaceShare>,
}

/// Work in the pools whose capacity is scarce or was within the last seconds.
///
/// Invariant: at most [`MAX_REPORTED_SHARES`] workspaces over all pools.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShareStatus {
    /// The pools; empty while there is capacity for all requests.
    pub pools: Vec<PoolShares>,
}

impl ShareStatus {
    /// Whether there is nothing to report.
    pub const fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// The status with only the workspaces that have the most demand, so that it fits
    /// into a message. Pools are kept even without a workspace.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        let mut demands: Vec<f32> =
            self.pools.iter().flat_map(|pool| pool.workspaces.iter().map(|w| w.demand)).collect();
        if demands.len() <= MAX_REPORTED_SHARES {
            return self;
        }
        demands.sort_by(|a, b| b.total_cmp(a));
        let least = demands[MAX_REPORTED_SHARES - 1];
        let mut left = MAX_REPORTED_SHARES;
        for pool in &mut self.pools {
            pool.workspaces.sort_by(|a, b| b.demand.total_cmp(&a.demand));
            pool.workspaces.retain(|w| w.demand >= least);
            pool.workspaces.truncate(left);
            left -= pool.workspaces.len();
        }
        self
    }
}

/// Encodes workspaces as 12 bytes each, little endian.
mod packed {
    use super::{
        Bytes, DeserializeAs, Deserializer, ENCODED_BYTES, MAX_REPORTED_SHARES, SerializeAs,
        Serializer, WorkspaceHash, WorkspaceShare,
    };

    pub(super) fn serialize<S: Serializer>(
        shares: &[WorkspaceShare],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut buf = Vec::with_capacity(shares.len() * ENCODED_BYTES);
        for share in shares {
            buf.extend(share.workspace.0.to_le_bytes());
            buf.extend(share.demand.to_le_bytes());
            buf.extend(share.admitted.to_le_bytes());
        }
        Bytes::serialize_as(&buf, serializer)
    }

    /// Decodes at most [`MAX_REPORTED_SHARES`] workspaces. Those with impossible values
    /// are left out.
    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<WorkspaceShare>, D::Error> {
        let buf: Vec<u8> = Bytes::deserialize_as(deserializer)?;
        let (records, _) = buf.as_chunks::<ENCODED_BYTES>();
        let shares = records.iter().map(|record| {
            let word = |at: usize| [record[at], record[at + 1], record[at + 2], record[at + 3]];
            WorkspaceShare {
                workspace: WorkspaceHash(u32::from_le_bytes(word(0))),
                demand: f32::from_le_bytes(word(4)),
                admitted: f32::from_le_bytes(word(8)),
            }
        });
        let is_possible = |value: f32| value.is_finite() && value >= 0.0;
        let possible = shares.filter(|s| is_possible(s.demand) && is_possible(s.admitted));
        Ok(possible.take(MAX_REPORTED_SHARES).collect())
    }
}
