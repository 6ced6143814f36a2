//! Subsetting: the members of a pool that an entry connects to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Selects at most `size` members by rendezvous hashing, round-robin over the
/// failure domains.
///
/// Entries with different seeds select different subsets. A member that joins
/// or leaves changes about one member of a subset.
pub fn choose_subset(
    members: &BTreeMap<SocketAddr, CompactString>,
    size: usize,
    seed: u64,
) -> Vec<SocketAddr> {
    let mut by_domain: BTreeMap<&CompactString, Vec<(u64, SocketAddr)>> = BTreeMap::new();
    for (address, domain) in members {
        by_domain.entry(domain).or_default().push((weight(*address, seed), *address));
    }
    let mut queues: Vec<_> = by_domain.into_values().collect();
    for queue in &mut queues {
        queue.sort_unstable();
    }
    queues.sort_unstable_by_key(|queue| queue.last().copied());
    let mut chosen = Vec::new();
    while chosen.len() < size && queues.iter().any(|queue| !queue.is_empty()) {
        let round = queues.iter_mut().rev().filter_map(Vec::pop);
        chosen.extend(round.map(|(_, address)| address));
    }
    chosen.truncate(size);
    chosen
}

fn weight(address: SocketAddr, seed: u64) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), seed)
}
