//! Addresses of the other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clementine_decide::ids::{DomainId, EntryId};
use clementine_decide::peers::{PeerView, summary_targets};

use xxhash_rust::xxh3::Xxh3;

use super::directory::EntryRecord;

/// Number of entries, in this failure domain and in the others, that keep what this
/// entry uses of the retry budgets.
const WITNESSES: usize = 3;

/// Addresses of the other entries, and the receivers of the next messages.
#[derive(Debug)]
pub(super) struct Receivers {
    entry: EntryId,
    domain: DomainId,
    /// Entries of this failure domain.
    neighbors: BTreeMap<EntryId, SocketAddr>,
    /// Entries of the other failure domains.
    remote: BTreeMap<DomainId, BTreeMap<EntryId, SocketAddr>>,
}

impl Receivers {
    /// Creates the receivers of an entry that knows no others yet.
    pub(super) const fn new(entry: EntryId, domain: DomainId) -> Self {
        Self { entry, domain, neighbors: BTreeMap::new(), remote: BTreeMap::new() }
    }

    /// Records the address of an entry.
    pub(super) fn insert(&mut self, id: EntryId, record: EntryRecord) {
        let domain = if record.domain == self.domain {
            &mut self.neighbors
        } else {
            self.remote.entry(record.domain).or_default()
        };
        domain.insert(id, record.address);
    }

    /// Replaces all addresses by those of the directory.
    pub(super) fn replace(&mut self, directory: BTreeMap<EntryId, EntryRecord>) {
        self.neighbors.clear();
        self.remote.clear();
        for (id, record) in directory {
            self.insert(id, record);
        }
    }

    /// Addresses of the entries of this failure domain.
    pub(super) fn neighbors(&self) -> impl Iterator<Item = SocketAddr> {
        self.neighbors.values().copied()
    }

    /// Addresses of the entries that keep what this one uses of the retry budgets: a few
    /// of this failure domain and a few of others. An entry that restarts finds most of
    /// them again, by rendezvous hashing.
    pub(super) fn witnesses(&self) -> Vec<SocketAddr> {
        let remote = self.remote.values().flatten();
        let mut witnesses = self.first_by_rank(self.neighbors.iter());
        witnesses.extend(self.first_by_rank(remote));
        witnesses
    }

    fn first_by_rank<'a>(
        &self,
        entries: impl Iterator<Item = (&'a EntryId, &'a SocketAddr)>,
    ) -> Vec<SocketAddr> {
        let mut ranked: Vec<(u64, SocketAddr)> =
            entries.map(|(id, address)| (rank(&self.entry, id), *address)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(WITNESSES).map(|(_, address)| address).collect()
    }

    /// Number of known entries, including this one.
    pub(super) fn known_count(&self) -> usize {
        1 + self.neighbors.len() + self.remote.values().map(BTreeMap::len).sum::<usize>()
    }

    /// Addresses of the entries of other failure domains that get this entry's
    /// summary in a round.
    pub(super) fn summary_receivers(&self, view: &PeerView, round: u64) -> Vec<SocketAddr> {
        let rank = view.neighbors().filter(|id| **id < self.entry).count();
        let senders = view.neighbors().count() + 1;
        let domains = self.remote.values().map(|entries| {
            let addresses: Vec<SocketAddr> = entries.values().copied().collect();
            let targets = summary_targets(rank, senders, addresses.len(), round);
            targets.map(|index| addresses[index]).collect::<Vec<_>>()
        });
        domains.flatten().collect()
    }
}

/// Rank of an entry among those that may keep what another one uses.
fn rank(user: &EntryId, keeper: &EntryId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(user.as_str().as_bytes());
    hasher.update(keeper.as_str().as_bytes());
    hasher.digest()
}
