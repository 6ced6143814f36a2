//! The live entries and their last messages.

use std::collections::BTreeMap;

use clementine_objects::Millis;

use super::{
    ConfigOffer, DomainSummary, LoadStatus, LoadTotals, PeerMessage, PeerReport,
    PlannerAnnouncement,
};
use crate::ids::{DomainId, EntryId, IncarnationId, StoreVersion, Tick};
use crate::signals::LimitSharing;

/// Minimum time after its last message for which an entry is considered live.
const MIN_LIVENESS_TIMEOUT: Millis = Millis(1_500);
/// Number of the sender's intervals for which an entry is considered live, so
/// that lost messages do not make it expire.
const LIVENESS_INTERVALS: u64 = 4;
/// Time for which an announcement of the planner's lease is passed on. Longer
/// than it takes through two failure domains.
const PLANNER_ANNOUNCEMENT_TTL: Millis = Millis(2_000);

/// Effect of a received message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerUpdate {
    /// The sender was unknown or no longer live.
    Joined,
    /// The sender is already known as live.
    Known,
    /// The message is not newer than the last one of the sender, or covers far
    /// fewer entries than the summary that is in use, and was ignored.
    Ignored,
}

/// Identity and reception time of a message.
#[derive(Debug, Clone)]
struct Received {
    incarnation: IncarnationId,
    sequence: u64,
    expires_at: Tick,
}

impl Received {
    fn new(message: &PeerMessage, now: Tick) -> Self {
        let intervals = Millis(message.interval.0.saturating_mul(LIVENESS_INTERVALS));
        Self {
            incarnation: message.incarnation,
            sequence: message.sequence,
            expires_at: now.after(intervals.max(MIN_LIVENESS_TIMEOUT)),
        }
    }

    fn supersedes(&self, earlier: &Self) -> bool {
        self.incarnation != earlier.incarnation || self.sequence > earlier.sequence
    }
}

/// An entry of this failure domain.
#[derive(Debug)]
struct Neighbor {
    received: Received,
    leaving: bool,
    follows_store: bool,
    config: Option<ConfigOffer>,
    load: LoadStatus,
}

/// The last summary of another failure domain.
#[derive(Debug)]
struct RemoteDomain {
    from: EntryId,
    received: Received,
    summary: DomainSummary,
}

impl RemoteDomain {
    /// Whether this summary replaces another one of the domain. A sender that has
    /// just started knows few entries of its domain.
    fn replaces(&self, known: &Self, now: Tick) -> bool {
        if self.from == known.from && !self.received.supersedes(&known.received) {
            return false;
        }
        let expired = now >= known.received.expires_at;
        expired || self.summary.live.saturating_mul(2) > known.summary.live
    }
}

/// The last announced holder of the planner's lease.
#[derive(Debug)]
struct HeardPlanner {
    holder: EntryId,
    lease_version: StoreVersion,
    announced_at: Tick,
}

impl HeardPlanner {
    fn is_current(&self, now: Tick) -> bool {
        now.since(self.announced_at) < PLANNER_ANNOUNCEMENT_TTL
    }
}

/// The other entries: each one of this failure domain, and the sums of the other
/// domains.
#[derive(Debug, Default)]
pub struct PeerView {
    neighbors: BTreeMap<EntryId, Neighbor>,
    domains: BTreeMap<DomainId, RemoteDomain>,
    planner: Option<HeardPlanner>,
}

impl PeerView {
    /// Records a received message.
    pub fn record(&mut self, message: PeerMessage, now: Tick) -> PeerUpdate {
        let received = Received::new(&message, now);
        if let Some(planner) = &message.planner {
            self.record_planner(planner, now);
        }
        match message.report {
            PeerReport::Entry { leaving, feed, config, load } => {
                let follows_store = feed.is_some();
                let neighbor = Neighbor { received, leaving, follows_store, config, load };
                self.record_neighbor(message.from, neighbor, now)
            }
            PeerReport::Domain(summary) => {
                let domain = RemoteDomain { from: message.from, received, summary };
                self.record_domain(message.domain, domain, now)
            }
        }
    }

    fn record_neighbor(&mut self, id: EntryId, neighbor: Neighbor, now: Tick) -> PeerUpdate {
        let known = self.neighbors.get(&id);
        if known.is_some_and(|known| !neighbor.received.supersedes(&known.received)) {
            return PeerUpdate::Ignored;
        }
        let live = known.is_some_and(|known| now < known.received.expires_at);
        self.neighbors.insert(id, neighbor);
        if live { PeerUpdate::Known } else { PeerUpdate::Joined }
    }

    fn record_domain(&mut self, id: DomainId, domain: RemoteDomain, now: Tick) -> PeerUpdate {
        let known = self.domains.get(&id);
        if known.is_some_and(|known| !domain.replaces(known, now)) {
            return PeerUpdate::Ignored;
        }
        self.domains.insert(id, domain);
        PeerUpdate::Known
    }

    /// Keeps the announcement with the newest lease version, and the latest one of
    /// that version.
    fn record_planner(&mut self, announced: &PlannerAnnouncement, now: Tick) {
        let heard = HeardPlanner {
            holder: announced.holder.clone(),
            lease_version: announced.lease_version,
            announced_at: now.before(announced.age),
        };
        let rank = |planner: &HeardPlanner| (planner.lease_version, planner.announced_at);
        let current = self.planner.as_ref().filter(|known| known.is_current(now));
        if current.is_none_or(|current| rank(&heard) > rank(current)) {
            self.planner = Some(heard);
        }
    }

    /// Removes the entries and domains that are no longer live, and returns the
    /// ids of the entries.
    pub fn remove_expired(&mut self, now: Tick) -> Vec<EntryId> {
        self.domains.retain(|_, domain| now < domain.received.expires_at);
        let expired = self.neighbors.extract_if(.., |_, peer| now >= peer.received.expires_at);
        expired.map(|(id, _)| id).collect()
    }

    /// Ids of the live entries of this failure domain, without this entry, in
    /// ascending order.
    pub fn neighbors(&self) -> impl Iterator<Item = &EntryId> {
        self.neighbors.keys()
    }

    /// Number of neighbors that follow the store and precede `entry` in the order
    /// of ids.
    pub fn followers_before(&self, entry: &EntryId, now: Tick) -> usize {
        let preceding = self.neighbors.range(..entry.clone()).map(|(_, peer)| peer);
        let live = preceding.filter(|peer| now < peer.received.expires_at && !peer.leaving);
        live.filter(|peer| peer.follows_store).count()
    }

    /// The neighbor with the newest configuration.
    pub fn newest_config(&self, now: Tick) -> Option<(EntryId, ConfigOffer)> {
        let live = self.neighbors.iter().filter(|(_, peer)| now < peer.received.expires_at);
        let offers = live.filter_map(|(id, peer)| Some((id, peer.config?)));
        let newest = offers.max_by_key(|(_, offer)| offer.version);
        newest.map(|(id, offer)| (id.clone(), offer))
    }

    /// Number of known entries, including this one.
    pub fn live_count(&self) -> usize {
        1 + self.neighbors.len() + self.remote_count(|summary| summary.live)
    }

    /// Number of entries that accept callers, including this one.
    pub fn serving_count(&self) -> usize {
        1 + self.serving_neighbors().count() + self.remote_count(|summary| summary.serving)
    }

    /// Neighbors that accept callers.
    fn serving_neighbors(&self) -> impl Iterator<Item = &EntryId> {
        self.neighbors.iter().filter(|(_, peer)| !peer.leaving).map(|(id, _)| id)
    }

    /// The entries that share the limits of backend servers, as seen by `entry`.
    /// `known_entries` counts those that are not heard as well.
    pub fn limit_sharing<'a>(
        &'a self,
        entry: &'a EntryId,
        domain: &'a DomainId,
        known_entries: usize,
    ) -> LimitSharing<'a> {
        let domains = self.domains.iter().map(|(id, domain)| (id, domain.summary.serving));
        LimitSharing {
            entry,
            domain,
            neighbors: self.serving_neighbors().collect(),
            domains: domains.collect(),
            known_entries,
        }
    }

    fn remote_count(&self, count: impl Fn(&DomainSummary) -> u32) -> usize {
        self.domains.values().map(|domain| count(&domain.summary) as usize).sum()
    }

    /// The last announcement of the holder of the planner's lease.
    pub fn planner(&self, now: Tick) -> Option<PlannerAnnouncement> {
        let planner = self.planner.as_ref().filter(|planner| planner.is_current(now))?;
        Some(PlannerAnnouncement {
            holder: planner.holder.clone(),
            lease_version: planner.lease_version,
            age: now.since(planner.announced_at),
        })
    }

    /// Load of all other entries.
    pub fn load_totals(&self) -> LoadTotals {
        let mut totals = self.neighbor_totals();
        for domain in self.domains.values() {
            totals.add(&domain.summary.load);
        }
        totals
    }

    /// Load of the other entries of this failure domain.
    fn neighbor_totals(&self) -> LoadTotals {
        let mut totals = LoadTotals::default();
        for peer in self.neighbors.values() {
            totals.add(&peer.load);
        }
        totals
    }

    /// Summary of this failure domain, with this entry's own status.
    pub fn summarize(&self, own: &LoadStatus, leaving: bool, max_backends: usize) -> DomainSummary {
        let mut totals = self.neighbor_totals();
        totals.add(own);
        DomainSummary {
            live: 1 + self.neighbors.len() as u32,
            serving: self.serving_neighbors().count() as u32 + u32::from(!leaving),
            load: totals.into_status(max_backends),
        }
    }
}
