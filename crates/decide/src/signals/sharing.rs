//! Division of a server's limit among the entries.
//!
//! The entries divide a limit without messages of their own, from what they know
//! of each other: it is cut into slices, and each slice belongs to one entry, by
//! rendezvous hashing of the failure domains and then of the entries in them. An
//! entry knows the ids of the entries of its own domain only.

use xxhash_rust::xxh3::Xxh3;

use super::RequestRate;
use crate::fleet::BackendIncarnation;
use crate::ids::{DomainId, EntryId};

/// Fraction of a limit that entries use. The rest is headroom for a slice that two
/// entries hold while one of them has not heard of the other.
const USED_FRACTION: f64 = 0.9;
/// Minimum rate of a slice, in requests per second. With less, an entry would hold
/// back most requests although the limit allows them.
const MIN_SLICE_PER_S: f64 = 1.0;
/// Minimum rate of all entries together, in requests per second. A server whose
/// limit is 0 could not tell otherwise that it has ended.
const MIN_TOTAL_PER_S: f64 = 0.1;

/// An entry's share of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Requests that the entry may send.
    pub rate: RequestRate,
    /// Requests that it may send at once.
    pub burst: f64,
}

/// The entries that share limits, as one entry knows them.
#[derive(Debug, Clone)]
pub struct LimitSharing<'a> {
    /// This entry.
    pub entry: &'a EntryId,
    /// Failure domain of this entry.
    pub domain: &'a DomainId,
    /// Other entries of the domain that accept callers.
    pub neighbors: Vec<&'a EntryId>,
    /// Other domains, with the number of their entries that accept callers.
    pub domains: Vec<(&'a DomainId, u32)>,
    /// Number of entries that are known, whether or not they are heard. Those that are
    /// not may be cut off and use their shares.
    pub known_entries: usize,
}

impl LimitSharing<'_> {
    /// This entry's share of a server's limit.
    pub fn share(&self, server: BackendIncarnation, limit: RequestRate) -> LimitShare {
        let entries = self.entry_count();
        let total = (limit.per_second() * USED_FRACTION).max(MIN_TOTAL_PER_S);
        let slices = ((limit.per_second() / MIN_SLICE_PER_S) as usize).clamp(1, entries);
        let own = if slices == entries {
            1
        } else {
            (0..slices).filter(|slice| self.holds_slice(server, *slice)).count()
        };
        let heard_share = entries as f64 / self.known_entries.max(entries) as f64;
        let rate = total * heard_share * own as f64 / slices as f64;
        let burst = if own == 0 { 0.0 } else { (own as f64 * heard_share).max(1.0) };
        LimitShare { rate: RequestRate::new(rate).unwrap_or_default(), burst }
    }

    fn entry_count(&self) -> usize {
        1 + self.neighbors.len() + self.domains.iter().map(|(_, n)| *n as usize).sum::<usize>()
    }

    fn holds_slice(&self, server: BackendIncarnation, slice: usize) -> bool {
        let own_size = 1 + self.neighbors.len() as u32;
        let own = rank(server, slice, self.domain.as_str(), own_size);
        let mut others = self.domains.iter().filter(|(_, size)| *size > 0);
        let in_domain =
            others.all(|(domain, size)| own < rank(server, slice, domain.as_str(), *size));
        let own = rank(server, slice, self.entry.as_str(), 1);
        in_domain && self.neighbors.iter().all(|id| own < rank(server, slice, id.as_str(), 1))
    }
}

/// Rank of a holder of a slice; the lowest one holds it. The chance of being lowest
/// is proportional to the weight.
fn rank(server: BackendIncarnation, slice: usize, holder: &str, weight: u32) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mut hasher = Xxh3::new();
    hasher.update(&server.0.to_le_bytes());
    hasher.update(&(slice as u64).to_le_bytes());
    hasher.update(holder.as_bytes());
    let uniform = ((hasher.digest() >> (u64::BITS - MANTISSA_BITS)) + 1) as f64
        / (1_u64 << MANTISSA_BITS) as f64;
    -uniform.ln() / f64::from(weight)
}
