//! The other entries as this one sees them.

use std::collections::{BTreeMap, HashMap};

use clementine_objects::Millis;

use super::{BackendLoad, BackendTag, PeerMessage};
use crate::ids::{EntryId, Tick};
use crate::paths::Link;

/// Time after its last message for which an entry counts as alive.
const ALIVE_FOR: Millis = Millis(1_500);

/// What a message changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerUpdate {
    /// An entry that was not known, or was taken for gone.
    Joined,
    /// A further message of a known entry.
    Known,
    /// An older message than one that has come before.
    Stale,
}

#[derive(Debug)]
struct Peer {
    last: PeerMessage,
    heard_at: Tick,
}

/// The other entries as this one sees them.
#[derive(Debug, Default)]
pub struct PeerView {
    peers: BTreeMap<EntryId, Peer>,
}

impl PeerView {
    /// Takes in a message.
    pub fn record(&mut self, message: PeerMessage, now: Tick) -> PeerUpdate {
        let known = self.peers.get(&message.from);
        let stale = known.is_some_and(|peer| {
            peer.last.incarnation == message.incarnation && peer.last.sequence >= message.sequence
        });
        if stale {
            return PeerUpdate::Stale;
        }
        let joined = known.is_none_or(|peer| now.since(peer.heard_at) >= ALIVE_FOR);
        self.peers.insert(message.from.clone(), Peer { last: message, heard_at: now });
        if joined { PeerUpdate::Joined } else { PeerUpdate::Known }
    }

    /// Forgets the entries that have not been heard for some time, and names
    /// them.
    pub fn remove_expired(&mut self, now: Tick) -> Vec<EntryId> {
        let silent = |peer: &Peer| now.since(peer.heard_at) >= ALIVE_FOR;
        let gone: Vec<EntryId> =
            self.peers.iter().filter(|(_, peer)| silent(peer)).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.peers.remove(id);
        }
        gone
    }

    /// Entries that are heard, this one included.
    pub fn live_count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Entries that take callers, this one included.
    pub fn serving_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| !peer.last.leaving).count()
    }

    /// Newest version of the lease's row with which some other entry says that
    /// it holds the planner's lease.
    pub fn planner_lease_version(&self, now: Tick) -> Option<u64> {
        let heard = self.peers.values().filter(|peer| now.since(peer.heard_at) < ALIVE_FOR);
        heard.filter_map(|peer| peer.last.planner_lease_version).max()
    }

    /// Use of the links between failure domains by all other entries, in bytes
    /// per ms.
    pub fn link_totals(&self) -> HashMap<Link, f64> {
        let mut totals = HashMap::new();
        for load in self.peers.values().flat_map(|peer| &peer.last.links) {
            *totals.entry(Link::between(&load.a, &load.b)).or_insert(0.0) += load.bytes_per_ms;
        }
        totals
    }

    /// Work of all other entries, by backend server.
    pub fn load_totals(&self) -> HashMap<BackendTag, BackendLoad> {
        let mut totals = HashMap::new();
        for load in self.peers.values().flat_map(|peer| &peer.last.loads) {
            let none = BackendLoad { in_flight: 0, tokens: 0, ..*load };
            let total = totals.entry(load.backend).or_insert(none);
            total.in_flight = total.in_flight.saturating_add(load.in_flight);
            total.tokens = total.tokens.saturating_add(load.tokens);
        }
        totals
    }
}
