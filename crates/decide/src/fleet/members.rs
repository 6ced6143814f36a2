//! All backend servers known to this process.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use clementine_objects::Millis;
use rand::{Rng, RngExt};

use super::{Backend, BackendIncarnation, BackendState, EngineSpec, Member};
use crate::ids::{BackendId, PoolId, Tick};
use crate::paths::PathCandidate;
use crate::peers::{BackendHash, BackendLoad, least_reported};
use crate::signals::{LimitSharing, ResponseSignals, ResponseSource, ServerSignals, SignalReport};

/// All backend servers known to this process.
#[derive(Debug, Default)]
pub struct Fleet {
    members: BTreeMap<BackendId, Member>,
    /// Backend servers that were removed from the list while alive, with the time
    /// of removal.
    removed: BTreeMap<BackendId, Tick>,
    /// Signals of servers that are not listed now, with the time of removal. A
    /// server can be listed again, for example after an outage of the store.
    unlisted_signals: BTreeMap<BackendIncarnation, (ServerSignals, Tick)>,
}

/// Time for which a backend server that was removed from the list is assumed to
/// be still running its requests. Longer than any caller waits.
const REMOVED_RETENTION: Millis = Millis(60_000);

/// Time for which the signals of a server that is not listed are kept.
const UNLISTED_SIGNALS_RETENTION: Millis = Millis(600_000);

/// Effect of a row of the backend server list on the known state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// The server is new or has restarted.
    Started,
    /// The row of a known server has changed.
    Changed,
    /// The row is the same as before.
    Unchanged,
}

impl Fleet {
    /// Inserts or updates a backend server from its row in the list. If the server
    /// has restarted, everything observed before the restart is discarded.
    pub fn upsert(&mut self, backend: Backend, now: Tick) -> ListUpdate {
        match self.members.get_mut(&backend.id) {
            Some(member) if member.backend.started_ms == backend.started_ms => {
                if member.backend == backend {
                    return ListUpdate::Unchanged;
                }
                member.update(backend);
                ListUpdate::Changed
            }
            _ => {
                let mut member = Member::new(backend, now);
                if let Some((signals, _)) = self.unlisted_signals.remove(&member.incarnation) {
                    member.signals = signals;
                }
                let replaced = self.members.insert(member.backend.id.clone(), member);
                if let Some(replaced) = replaced {
                    self.keep_signals(replaced, now);
                }
                ListUpdate::Started
            }
        }
    }

    /// Inserts or updates a backend server from its row in a copy of the list that
    /// may be older than what is known. A row never takes back what was known
    /// before: the start, the orders that it has carried out, or that it is
    /// draining. A server that was not known is not used until its identity is
    /// confirmed, because its row may be that of a server that is gone.
    pub fn upsert_restored(&mut self, backend: Backend, now: Tick) -> ListUpdate {
        let Some(known) = self.members.get(&backend.id) else {
            let id = backend.id.clone();
            let update = self.upsert(backend, now);
            if let Some(member) = self.members.get_mut(&id) {
                member.require_confirmation();
            }
            return update;
        };
        if is_older(&backend, &known.backend) {
            return ListUpdate::Unchanged;
        }
        self.upsert(backend, now)
    }

    /// Removes a backend server that is no longer listed. Returns whether it was
    /// known.
    pub fn remove(&mut self, id: &BackendId, now: Tick) -> bool {
        self.removed.retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        let Some(member) = self.members.remove(id) else { return false };
        if !member.is_down() {
            self.removed.insert(id.clone(), now);
        }
        self.keep_signals(member, now);
        true
    }

    fn keep_signals(&mut self, member: Member, now: Tick) {
        let retention = UNLISTED_SIGNALS_RETENTION;
        self.unlisted_signals.retain(|_, (_, since)| now.since(*since) < retention);
        if !member.signals.is_empty() {
            self.unlisted_signals.insert(member.incarnation, (member.signals, now));
        }
    }

    /// Applies the signals in a response of a server. Returns whether they differ
    /// from what was known.
    pub fn apply_signals(
        &mut self,
        id: &BackendId,
        signals: ResponseSignals,
        source: ResponseSource,
        now: Tick,
    ) -> bool {
        let member = self.members.get_mut(id);
        member.is_some_and(|member| member.signals.apply(signals, source, now))
    }

    /// Merges the report of another entry on a server's signals. Returns the server
    /// if it is listed and the report differs from what was known.
    pub fn merge_signals(&mut self, report: &SignalReport, now: Tick) -> Option<&Member> {
        if let Some((signals, _)) = self.unlisted_signals.get_mut(&report.server) {
            signals.merge(report, now);
        }
        let mut members = self.members.values_mut();
        let member = members.find(|member| member.incarnation == report.server)?;
        member.signals.merge(report, now).then_some(member)
    }

    /// Reports on the servers' signals for the next message to other entries: at
    /// most `max`, those first that were reported least often.
    pub fn next_signal_reports(&mut self, max: usize, now: Tick) -> Vec<SignalReport> {
        let members = self.members.values_mut();
        let due = members.filter_map(|member| Some((member.signals.reported()?, member)));
        let reports = least_reported(due, max).into_iter();
        reports.map(|member| member.signals.next_report(member.incarnation, now)).collect()
    }

    /// Time until a server of a pool accepts requests of this entry again, if all
    /// that are up have asked to be left alone.
    pub fn pool_pause(&self, pool: &PoolId, now: Tick) -> Option<Millis> {
        let up = self.pool(pool).filter(|member| member.can_host_layers());
        let pause = up.map(|member| member.signals.pause_left(now)).min()?;
        (pause.0 > 0).then_some(pause)
    }

    /// Whether any server names a limit.
    pub fn has_limits(&self) -> bool {
        self.members.values().any(|member| member.signals.limit().is_some())
    }

    /// Sets this entry's share of each limit that a server names.
    pub fn set_limit_shares(&mut self, sharing: &LimitSharing<'_>, now: Tick) {
        for member in self.members.values_mut() {
            if let Some(limit) = member.signals.limit() {
                member.signals.set_share(sharing.share(member.incarnation, limit), now);
            }
        }
    }

    /// Whether a backend server may still be running requests that were sent to
    /// it. A server can finish its requests after its removal from the list; one
    /// that was found down and then removed has terminated, and so has one on whose
    /// address no process listens.
    pub fn may_still_run(&self, id: &BackendId) -> bool {
        match self.members.get(id) {
            Some(member) => !member.refused_connection_since(member.last_seen),
            None => self.removed.contains_key(id),
        }
    }

    /// Returns a backend server by id.
    pub fn get(&self, id: &BackendId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns a backend server by id for updates of its state.
    pub fn get_mut(&mut self, id: &BackendId) -> Option<&mut Member> {
        self.members.get_mut(id)
    }

    /// Finds the id of the backend server that listens on an address. If several are
    /// listed there, all but the last one to start are gone.
    pub fn by_address(&self, address: SocketAddr) -> Option<&BackendId> {
        let found = self.at_address(address).max_by_key(|member| {
            (!member.is_unconfirmed(), member.backend.started_ms, member.listed_at)
        });
        found.map(|member| &member.backend.id)
    }

    fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.backend.address == address)
    }

    /// Excludes the servers that are listed at the address of `id` beside it, until their
    /// identity is confirmed, or `id` itself if another one there has started later.
    /// Returns those that were not excluded before.
    pub fn doubt_former_owners(&mut self, id: &BackendId) -> Vec<BackendId> {
        let Some(owner) = self.members.get(id) else { return Vec::new() };
        let start = |member: &Member| (member.backend.started_ms, member.listed_at);
        let doubted: Vec<BackendId> = self
            .at_address(owner.backend.address)
            .filter(|other| other.backend.id != *id)
            .map(|other| if start(other) > start(owner) { id } else { &other.backend.id })
            .cloned()
            .collect();
        let is_new =
            |id: &BackendId| self.members.get_mut(id).is_some_and(Member::require_confirmation);
        doubted.into_iter().filter(is_new).collect()
    }

    /// Excludes a server until its identity is confirmed. Returns whether it was not
    /// excluded before.
    pub fn doubt_identity(&mut self, id: &BackendId) -> bool {
        self.members.get_mut(id).is_some_and(Member::require_confirmation)
    }

    /// Whether a server that has started later is listed at the address of `id`.
    pub fn is_address_taken(&self, id: &BackendId) -> bool {
        let Some(owner) = self.members.get(id) else { return false };
        let later = |other: &Member| other.backend.started_ms > owner.backend.started_ms;
        self.at_address(owner.backend.address).any(later)
    }

    /// Iterates over all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over the backend servers of a pool.
    pub fn pool<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |member| member.backend.pool == *pool)
    }

    /// Replaces the load caused by other entries. Servers that are not in
    /// `totals` have no such load.
    pub fn set_remote_load(&mut self, totals: &HashMap<BackendHash, BackendLoad>) {
        for member in self.members.values_mut() {
            let load = totals.get(&member.id_hash);
            member.remote_in_flight = load.map_or(0, |load| load.in_flight);
            member.remote_tokens = load.map_or(0.0, |load| load.tokens.into());
            member.remote_first_stages = load.map_or(0, |load| load.first_stages);
        }
    }

    /// Backend servers of a pool that accept new requests, except those in `avoid`.
    fn candidates<'a>(
        &'a self,
        pool: &'a PoolId,
        now: Tick,
        avoid: &'a [BackendId],
    ) -> impl Iterator<Item = &'a Member> {
        let usable = self.pool(pool).filter(move |member| member.is_usable(now));
        usable.filter(|member| !avoid.contains(&member.backend.id))
    }

    /// Engines of a pool that can currently be part of a request's path.
    pub fn path_candidates(
        &self,
        pool: &PoolId,
        spec: &EngineSpec,
        now: Tick,
        avoid: &[BackendId],
    ) -> Vec<PathCandidate> {
        self.candidates(pool, now, avoid)
            .filter_map(|member| member.path_candidate(spec, now))
            .collect()
    }

    /// The backend server of a pool with the shortest expected response time.
    /// Servers without recent failures are preferred over all others. Only those in
    /// `allowed` are eligible, unless it is empty.
    pub fn fastest<'a>(
        &'a self,
        pool: &'a PoolId,
        now: Tick,
        avoid: &'a [BackendId],
        allowed: &'a [BackendId],
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        let is_allowed = |id: &BackendId| allowed.is_empty() || allowed.contains(id);
        let candidates = self
            .candidates(pool, now, avoid)
            .filter(|member| member.signals.may_send(now) && is_allowed(&member.backend.id));
        let ranked = candidates.map(|member| (member, expected_ms(member, rng)));
        let compare = |a: &(&Member, f64), b: &(&Member, f64)| {
            let failures = a.0.has_recent_failure().cmp(&b.0.has_recent_failure());
            failures.then(a.1.total_cmp(&b.1))
        };
        ranked.min_by(compare).map(|(member, _)| member)
    }
}

/// Whether a row of the list is known to be older than another one of the same
/// server.
fn is_older(row: &Backend, known: &Backend) -> bool {
    if row.started_ms != known.started_ms {
        return row.started_ms < known.started_ms;
    }
    let forgets_drain = known.state == BackendState::Leaving && row.state == BackendState::Ready;
    forgets_drain || row.orders_started < known.orders_started
}

/// Expected response time in ms, with random jitter so that the entries do not
/// all choose the same server.
fn expected_ms(member: &Member, rng: &mut impl Rng) -> f64 {
    /// Upper bound of the jitter, as a fraction of the estimate.
    const MAX_JITTER: f64 = 0.1;
    let utilization = f64::from(member.in_flight + member.remote_in_flight)
        / f64::from(member.backend.slots.max(1));
    member.latency_ms() * (1.0 + utilization) * (1.0 + rng.random_range(0.0..MAX_JITTER))
}
