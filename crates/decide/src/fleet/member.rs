//! A backend server and its state as observed by this process.

use clementine_objects::{LayerRange, Millis};

use super::{Backend, BackendIncarnation, BackendState, EngineSpec};
use crate::ids::Tick;
use crate::paths::{Backlog, PathCandidate};
use crate::peers::BackendHash;
use crate::prefixes::CacheGeneration;
use crate::signals::ServerSignals;

/// Backoff after the first failure, doubled after each consecutive failure.
const INITIAL_BACKOFF: Millis = Millis(250);
/// Maximum backoff.
const MAX_BACKOFF: Millis = Millis(4_000);
/// Weight of a new sample in the moving average of the response time.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// Time after which a reported slowdown expires and normal speed is assumed.
const SLOWDOWN_TTL: Millis = Millis(4_000);
/// Age from which a reported slowdown is refreshed when a run stalls.
const SLOWDOWN_REFRESH_AGE: Millis = Millis(1_500);
/// Time for which an event proves that an engine is alive, so that no probe
/// is needed.
const EVENT_LIVENESS_TTL: Millis = Millis(60);
/// Time for which a successful connection proves that an engine is alive.
const CONNECTION_LIVENESS_TTL: Millis = Millis(250);
/// Fraction of an engine's slots that entries use. The rest absorbs requests
/// that other entries have started since their last load report.
const MAX_SLOT_UTILIZATION: f64 = 0.85;
/// Response time that is assumed until the first response, in ms.
const INITIAL_LATENCY_MS: f64 = 50.0;
const TOKENS_PER_KILOTOKEN: f64 = 1_000.0;

/// A backend server and its state as observed by this process.
#[derive(Debug, Clone)]
pub struct Member {
    /// The server as listed by the platform.
    pub backend: Backend,
    /// Hash of the server's id, which replaces it in messages between entries.
    pub id_hash: BackendHash,
    /// Identity of this start of the server.
    pub incarnation: BackendIncarnation,
    /// What the server says about the requests that it accepts.
    pub signals: ServerSignals,
    /// Requests of this process that are running on the server.
    pub in_flight: u32,
    /// Requests of this process that begin at the server and so occupy one of its
    /// slots; at most `in_flight`.
    pub first_stages: u32,
    /// Context tokens reserved on the server by requests of this process.
    pub used_tokens: f64,
    /// Requests of other entries on the server, as last reported by them.
    pub remote_in_flight: u32,
    /// Requests of other entries that begin at the server, as last reported.
    pub remote_first_stages: u32,
    /// Context tokens reserved on the server by other entries, as last reported.
    pub remote_tokens: f64,
    /// Prefill work that was sent to the engine and is not done yet.
    prefill_backlog: Backlog,
    /// Last time that a response or an event was received from the server;
    /// initially the time at which it was listed.
    pub last_seen: Tick,
    /// When this start of the server was first listed.
    pub listed_at: Tick,
    /// Last reported slowdown factor and the time of the report.
    slowdown: Option<(f64, Tick)>,
    /// Last time that the server accepted a liveness probe.
    connected_at: Option<Tick>,
    /// Last time that a connection to the server was refused.
    refused_at: Option<Tick>,
    latency_ms: f64,
    /// Number of consecutive failures.
    failures: u32,
    backoff_until: Tick,
    /// Whether the last liveness check failed.
    down: bool,
    /// Whether the server reported that it is draining. Its current runs
    /// continue.
    leaving: bool,
    /// Whether another server may have the address by now: the row is that of a restored
    /// store, another row has the same address, or another server answered there.
    unconfirmed: bool,
    /// Number of times that the engine has lost its KV cache since it was listed.
    cache_losses: u32,
}

impl Member {
    /// Creates the state of a newly listed backend server.
    pub fn new(backend: Backend, now: Tick) -> Self {
        Self {
            id_hash: BackendHash::from(&backend.id),
            incarnation: BackendIncarnation::from(&backend),
            backend,
            signals: ServerSignals::default(),
            in_flight: 0,
            first_stages: 0,
            used_tokens: 0.0,
            remote_in_flight: 0,
            remote_first_stages: 0,
            remote_tokens: 0.0,
            prefill_backlog: Backlog::default(),
            last_seen: now,
            listed_at: now,
            slowdown: None,
            connected_at: None,
            refused_at: None,
            latency_ms: INITIAL_LATENCY_MS,
            failures: 0,
            backoff_until: Tick(0),
            down: false,
            leaving: false,
            unconfirmed: false,
            cache_losses: 0,
        }
    }

    /// Whether new requests may be sent to the server.
    pub fn is_usable(&self, now: Tick) -> bool {
        self.can_host_layers() && now >= self.backoff_until && !self.signals.is_paused(now)
    }

    /// Time until new requests may be sent to a server that is up; zero if they may
    /// now, `None` if that is not known.
    pub fn accepts_in(&self, now: Tick) -> Option<Millis> {
        let accepts = self.signals.accepts_in(now).filter(|_| self.can_host_layers())?;
        Some(accepts.max(self.backoff_until.since(now)))
    }

    /// Whether the layer placement may include the server. Unlike
    /// [`Self::is_usable`], this ignores the backoff after failures.
    pub fn can_host_layers(&self) -> bool {
        let alive = !self.down && !self.unconfirmed;
        alive && !self.is_draining()
    }

    /// Excludes the server until its identity is confirmed. Returns whether it was not
    /// excluded before.
    pub(super) const fn require_confirmation(&mut self) -> bool {
        let changed = !self.unconfirmed;
        self.unconfirmed = true;
        changed
    }

    /// Whether the server's identity has to be confirmed before it is used.
    pub const fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// Confirms that the server is alive and has the id under which it is listed.
    /// Returns whether that was not known.
    pub const fn confirm_identity(&mut self) -> bool {
        let changed = self.unconfirmed;
        self.unconfirmed = false;
        changed
    }

    /// Sets whether the server reported that it is draining. Returns whether the
    /// value changed.
    pub const fn set_leaving(&mut self, leaving: bool) -> bool {
        let changed = self.leaving != leaving;
        self.leaving = leaving;
        changed
    }

    /// Whether the last liveness check failed.
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Sets whether the last liveness check failed. Returns whether the value
    /// changed.
    pub const fn set_down(&mut self, down: bool) -> bool {
        let changed = self.down != down;
        self.down = down;
        if changed && down {
            self.cache_losses += 1;
        }
        changed
    }

    /// Whether a request has failed since the server was last seen alive.
    pub const fn has_recent_failure(&self) -> bool {
        self.failures > 0
    }

    /// Records a complete response and its duration.
    pub fn record_response(&mut self, duration: Millis, now: Tick) {
        self.latency_ms += LATENCY_EWMA_WEIGHT * (duration.0 as f64 - self.latency_ms);
        self.record_activity(now);
    }

    /// Records that data was received from the server, which resets the backoff.
    /// Returns whether that ended a backoff.
    pub fn record_activity(&mut self, now: Tick) -> bool {
        let backed_off = now < self.backoff_until;
        self.last_seen = now;
        self.failures = 0;
        self.backoff_until = Tick(0);
        backed_off
    }

    /// Records a failure and starts the backoff.
    pub fn record_failure(&mut self, now: Tick) {
        let backoff = INITIAL_BACKOFF.0.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.backoff_until = now.after(Millis(backoff.min(MAX_BACKOFF.0)));
    }

    /// Applies an engine's report of its loaded layers and of the number of load
    /// orders that it has started.
    pub fn apply_report(&mut self, layers: Option<LayerRange>, orders_started: u64) {
        self.set_layers(layers);
        self.backend.orders_started = orders_started;
    }

    /// Applies a changed row of the list.
    pub(super) fn update(&mut self, backend: Backend) {
        self.set_layers(backend.layers);
        self.backend = backend;
    }

    fn set_layers(&mut self, layers: Option<LayerRange>) {
        if self.backend.layers != layers {
            self.cache_losses += 1;
        }
        self.backend.layers = layers;
    }

    /// The period in which the engine has kept its KV cache.
    pub const fn cache_generation(&self) -> CacheGeneration {
        CacheGeneration {
            incarnation: self.incarnation,
            listed_at: self.listed_at,
            losses: self.cache_losses,
        }
    }

    /// Records the slowdown factor that an engine reported.
    pub const fn record_slowdown(&mut self, factor: f64, now: Tick) {
        self.slowdown = Some((factor, now));
    }

    /// Slowdown relative to the engine's normal speed: the last reported factor,
    /// or 1 if there is none or it has expired.
    pub fn slowdown(&self, now: Tick) -> f64 {
        let current = self.slowdown.filter(|(_, at)| now.since(*at) < SLOWDOWN_TTL);
        current.map_or(1.0, |(factor, _)| factor)
    }

    /// Whether the slowdown factor should be requested again when a run stalls.
    pub fn is_slowdown_stale(&self, now: Tick) -> bool {
        self.slowdown.is_none_or(|(_, at)| now.since(at) >= SLOWDOWN_REFRESH_AGE)
    }

    /// Records that the server accepted a liveness probe.
    pub const fn record_connection(&mut self, now: Tick) {
        self.connected_at = Some(now);
    }

    /// Whether the server has accepted a liveness probe since a time.
    pub fn connected_since(&self, since: Tick) -> bool {
        self.connected_at.is_some_and(|at| at >= since)
    }

    /// Records that no process listens on the server's address.
    pub const fn record_refused_connection(&mut self, now: Tick) {
        self.refused_at = Some(now);
    }

    /// Whether a connection to the server has been refused since a time.
    pub fn refused_connection_since(&self, since: Tick) -> bool {
        self.refused_at.is_some_and(|at| at >= since)
    }

    /// Whether the server is known to be draining.
    pub fn is_draining(&self) -> bool {
        let listed = self.backend.state == BackendState::Leaving;
        self.leaving || listed || self.signals.is_draining()
    }

    /// Whether the server was active so recently that a stalled run is no
    /// reason to probe it.
    pub fn is_recently_alive(&self, now: Tick) -> bool {
        let connected = self.connected_at.is_some_and(|at| now.since(at) < CONNECTION_LIVENESS_TTL);
        connected || now.since(self.last_seen) < EVENT_LIVENESS_TTL
    }

    /// Moving average of the response time, in ms.
    pub const fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Records prefill work that is sent to the engine, in ms of its time.
    pub fn record_prefill(&mut self, ms: f64, now: Tick) {
        self.prefill_backlog.add(ms, now);
    }

    /// Number of further requests that may be sent to the server. Those that it runs as
    /// a later stage of their path occupy no slot.
    fn free_slots(&self, now: Tick) -> u32 {
        if !self.signals.may_send(now) {
            return 0;
        }
        let limit = (f64::from(self.backend.slots) * MAX_SLOT_UTILIZATION) as u32;
        limit.saturating_sub(self.first_stages + self.remote_first_stages)
    }

    /// The engine as input to the path search, or `None` if it has no layers
    /// loaded or its accelerator type is unknown.
    pub fn path_candidate(&self, spec: &EngineSpec, now: Tick) -> Option<PathCandidate> {
        let layers = self.backend.layers?;
        let accelerator = spec.accelerator(self.backend.accelerator.as_ref()?)?;
        let running = f64::from(self.in_flight + self.remote_in_flight);
        let context = f64::from(spec.typical_prompt_tokens) / TOKENS_PER_KILOTOKEN;
        let per_request = spec.step_ms_per_request + spec.step_ms_per_kilotoken * context;
        let step = spec.step_ms + per_request * running;
        let slowdown = self.slowdown(now);
        let factor = accelerator.step_factor * slowdown;
        let prefill_ms = slowdown / spec.prefill_tokens_per_ms;
        Some(PathCandidate {
            id: self.backend.id.clone(),
            address: self.backend.address,
            domain: self.backend.domain.clone(),
            layers,
            step_ms: step * factor,
            step_ms_per_request: per_request * factor,
            running,
            prefill_ms_per_token: accelerator.prefill_factor * prefill_ms,
            capacity_tokens: spec.context_capacity(accelerator, layers.count()),
            used_tokens: self.used_tokens + self.remote_tokens,
            free_slots: self.free_slots(now),
            prefill_backlog_ms: self.prefill_backlog.at(now),
            cached_prompt_tokens: 0.0,
            cached_layers: None,
        })
    }
}
