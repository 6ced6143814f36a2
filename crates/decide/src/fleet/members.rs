//! All backend servers that this process knows.

use std::collections::{BTreeMap, HashMap};

use clementine_objects::Millis;
use rand::{Rng, RngExt};

use super::{Backend, EngineSpec, Member};
use crate::ids::{BackendId, PoolId, Tick};
use crate::paths::PathCandidate;
use crate::peers::{BackendLoad, BackendTag};

/// All backend servers that this process knows.
#[derive(Debug, Default)]
pub struct Fleet {
    members: BTreeMap<BackendId, Member>,
    /// Backend servers that left the list and were not down, and when.
    left: BTreeMap<BackendId, Tick>,
}

/// Time for which a backend server that has left may still run what it has:
/// longer than any caller waits.
const LEFT_RUNS_FOR: Millis = Millis(60_000);

/// What became of a listed backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// It is new, or has started again.
    Started,
    /// Its state has changed.
    Changed,
    /// Nothing that matters has changed.
    Unchanged,
}

impl Fleet {
    /// Takes in an entry of the list. A server that has started again knows
    /// nothing of before.
    pub fn upsert(&mut self, backend: Backend, now: Tick) -> ListUpdate {
        match self.members.get_mut(&backend.id) {
            Some(member) if member.backend.started_ms == backend.started_ms => {
                if member.backend == backend {
                    return ListUpdate::Unchanged;
                }
                member.backend = backend;
                ListUpdate::Changed
            }
            _ => {
                self.members.insert(backend.id.clone(), Member::new(backend, now));
                ListUpdate::Started
            }
        }
    }

    /// Takes a backend server that has left the list out of use.
    pub fn remove(&mut self, id: &BackendId, now: Tick) -> bool {
        self.left.retain(|_, at| now.since(*at) < LEFT_RUNS_FOR);
        let Some(member) = self.members.remove(id) else { return false };
        if !member.is_down() {
            self.left.insert(id.clone(), now);
        }
        true
    }

    /// Whether a backend server may still run a request that it was sent. One
    /// that left the list may serve for a while; one that was found down and
    /// then left has ended.
    pub fn may_still_run(&self, id: &BackendId) -> bool {
        self.members.contains_key(id) || self.left.contains_key(id)
    }

    /// A backend server.
    pub fn get(&self, id: &BackendId) -> Option<&Member> {
        self.members.get(id)
    }

    /// A backend server, to note something of it.
    pub fn get_mut(&mut self, id: &BackendId) -> Option<&mut Member> {
        self.members.get_mut(id)
    }

    /// The backend server at an address.
    pub fn by_address(&self, address: std::net::SocketAddr) -> Option<&BackendId> {
        let found = self.members.values().find(|member| member.backend.address == address);
        found.map(|member| &member.backend.id)
    }

    /// All backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The backend servers of a pool.
    pub fn pool<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |member| member.backend.pool == *pool)
    }

    /// Takes in the other entries' work; where nothing is said, there is none.
    pub fn set_remote_load(&mut self, totals: &HashMap<BackendTag, BackendLoad>) {
        for member in self.members.values_mut() {
            let load = totals.get(&member.tag);
            member.remote_in_flight = load.map_or(0, |load| load.in_flight);
            member.remote_tokens = load.map_or(0.0, |load| load.tokens.into());
        }
    }

    /// Backend servers of a pool that take new work, but for those to avoid.
    fn candidates<'a>(
        &'a self,
        pool: &'a PoolId,
        now: Tick,
        avoid: &'a [BackendId],
    ) -> impl Iterator<Item = &'a Member> {
        let usable = self.pool(pool).filter(move |member| member.is_usable(now));
        usable.filter(|member| !avoid.contains(&member.backend.id))
    }

    /// Engines of a pool that a request may pass through now.
    pub fn path_candidates(
        &self,
        pool: &PoolId,
        spec: &EngineSpec,
        now: Tick,
        avoid: &[BackendId],
    ) -> Vec<PathCandidate> {
        self.candidates(pool, now, avoid)
            .filter_map(|member| member.as_path_candidate(spec, now))
            .collect()
    }

    /// The backend server of a pool that is likely to answer first: by work in
    /// progress and answer time, servers without failures before others.
    pub fn fastest<'a>(
        &'a self,
        pool: &'a PoolId,
        now: Tick,
        avoid: &'a [BackendId],
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        let ranked =
            self.candidates(pool, now, avoid).map(|member| (member, expected_ms(member, rng)));
        let better = |a: &(&Member, f64), b: &(&Member, f64)| {
            let doubt = a.0.has_recent_failure().cmp(&b.0.has_recent_failure());
            doubt.then(a.1.total_cmp(&b.1))
        };
        ranked.min_by(better).map(|(member, _)| member)
    }
}

/// Expected answer time, in ms, with some chance so that entries spread.
fn expected_ms(member: &Member, rng: &mut impl Rng) -> f64 {
    /// Largest part by which chance changes an estimate.
    const CHANCE: f64 = 0.1;
    let waiting = f64::from(member.in_flight + member.remote_in_flight)
        / f64::from(member.backend.slots.max(1));
    member.latency_ms() * (1.0 + waiting) * (1.0 + rng.random_range(0.0..CHANCE))
}
