//! The live entries and their last messages.

use std::collections::{BTreeMap, HashMap};

use clementine_objects::Millis;

use super::{BackendHash, BackendLoad, PeerMessage};
use crate::ids::{EntryId, Tick};
use crate::paths::Link;

/// Time after its last message for which an entry is considered live.
const LIVENESS_TIMEOUT: Millis = Millis(1_500);

/// Effect of a received message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerUpdate {
    /// The sender was unknown or no longer live.
    Joined,
    /// The sender is already known as live.
    Known,
    /// The message is not newer than the last one of the sender and was
    /// ignored.
    Stale,
}

#[derive(Debug)]
struct Peer {
    last_message: PeerMessage,
    received_at: Tick,
}

/// The other entries, by the last message of each.
#[derive(Debug, Default)]
pub struct PeerView {
    peers: BTreeMap<EntryId, Peer>,
}

impl PeerView {
    /// Records a received message.
    pub fn record(&mut self, message: PeerMessage, now: Tick) -> PeerUpdate {
        let known = self.peers.get(&message.from);
        let stale = known.is_some_and(|peer| {
            peer.last_message.incarnation == message.incarnation
                && peer.last_message.sequence >= message.sequence
        });
        if stale {
            return PeerUpdate::Stale;
        }
        let joined = known.is_none_or(|peer| now.since(peer.received_at) >= LIVENESS_TIMEOUT);
        self.peers.insert(message.from.clone(), Peer { last_message: message, received_at: now });
        if joined { PeerUpdate::Joined } else { PeerUpdate::Known }
    }

    /// Removes the entries that are no longer live, and returns their ids.
    pub fn remove_expired(&mut self, now: Tick) -> Vec<EntryId> {
        let expired = |peer: &Peer| now.since(peer.received_at) >= LIVENESS_TIMEOUT;
        let removed: Vec<EntryId> =
            self.peers.iter().filter(|(_, peer)| expired(peer)).map(|(id, _)| id.clone()).collect();
        for id in &removed {
            self.peers.remove(id);
        }
        removed
    }

    /// Number of known entries, including this one.
    pub fn live_count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Number of entries that accept callers, including this one.
    pub fn serving_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| !peer.last_message.leaving).count()
    }

    /// Newest version of the lease row that another live entry announces as the
    /// holder of the planner's lease.
    pub fn planner_lease_version(&self, now: Tick) -> Option<u64> {
        let live =
            self.peers.values().filter(|peer| now.since(peer.received_at) < LIVENESS_TIMEOUT);
        live.filter_map(|peer| peer.last_message.planner_lease_version).max()
    }

    /// Traffic of all other entries on the links between failure domains, in
    /// bytes per ms.
    pub fn link_totals(&self) -> HashMap<Link, f64> {
        let mut totals = HashMap::new();
        for load in self.peers.values().flat_map(|peer| &peer.last_message.links) {
            *totals.entry(Link::between(&load.a, &load.b)).or_insert(0.0) += load.bytes_per_ms;
        }
        totals
    }

    /// Load of all other entries on each backend server.
    pub fn load_totals(&self) -> HashMap<BackendHash, BackendLoad> {
        let mut totals = HashMap::new();
        for load in self.peers.values().flat_map(|peer| &peer.last_message.loads) {
            let zero = BackendLoad { in_flight: 0, tokens: 0, ..*load };
            let total = totals.entry(load.backend).or_insert(zero);
            total.in_flight = total.in_flight.saturating_add(load.in_flight);
            total.tokens = total.tokens.saturating_add(load.tokens);
        }
        totals
    }
}
