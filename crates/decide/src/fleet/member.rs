//! A backend server with what this process has seen of it.

use clementine_objects::{LayerRange, Millis};

use super::{Backend, BackendState, EngineSpec};
use crate::ids::Tick;
use crate::paths::PathCandidate;
use crate::peers::BackendTag;

/// Time out of use after a first failure; doubled after each further one.
const FIRST_PAUSE: Millis = Millis(250);
/// Longest time out of use after a failure.
const LONGEST_PAUSE: Millis = Millis(4_000);
/// Weight of the newest answer in the mean answer time.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time for which an engine's word of its pace is believed.
const PACE_HOLDS: Millis = Millis(4_000);
/// Time after which it is asked again, when a run is silent.
const PACE_ASKED_AGAIN: Millis = Millis(1_500);
/// Time after an event, and after a connection, in which an engine isn't
/// connected to for a sign of life.
const ALIVE_HOLDS: Millis = Millis(60);
const REACHED_HOLDS: Millis = Millis(250);
/// Share of an engine's slots that entries fill.
const SLOT_SHARE: f64 = 0.85;
/// Answer time that is assumed before the first answer, in ms.
const UNKNOWN_LATENCY_MS: f64 = 50.0;

/// A backend server with what this process has seen of it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What the platform lists.
    pub backend: Backend,
    /// The server's identity as messages between entries name it.
    pub tag: BackendTag,
    /// Requests of this process that it runs.
    pub in_flight: u32,
    /// Tokens of context that requests of this process take there.
    pub used_tokens: f64,
    /// Requests that the other entries run there, as they last said.
    pub remote_in_flight: u32,
    /// Tokens of context that the other entries take there.
    pub remote_tokens: f64,
    /// Last time that something came of it.
    pub last_seen: Tick,
    /// How much slower than usual it said that it is, and when.
    pace: Option<(f64, Tick)>,
    /// Last time that it took a connection for a sign of life.
    reached_at: Option<Tick>,
    latency_ms: f64,
    failures: u32,
    paused_until: Tick,
    /// Whether it did not answer when it was asked for a sign of life.
    down: bool,
    /// Whether it said that it takes no new work; runs that it has go on.
    leaving: bool,
}

impl Member {
    /// A backend server that has just been listed.
    pub fn new(backend: Backend, now: Tick) -> Self {
        Self {
            tag: BackendTag::from(&backend.id),
            backend,
            in_flight: 0,
            used_tokens: 0.0,
            remote_in_flight: 0,
            remote_tokens: 0.0,
            last_seen: now,
            pace: None,
            reached_at: None,
            latency_ms: UNKNOWN_LATENCY_MS,
            failures: 0,
            paused_until: Tick(0),
            down: false,
            leaving: false,
        }
    }

    /// Whether new work may be sent to it.
    pub fn is_usable(&self, now: Tick) -> bool {
        self.can_host_layers() && now >= self.paused_until
    }

    /// Whether it may be planned with.
    pub fn can_host_layers(&self) -> bool {
        self.backend.state == BackendState::Ready && !self.down && !self.leaving
    }

    /// Notes whether it said that it takes no new work; tells whether that is
    /// news.
    pub const fn set_leaving(&mut self, leaving: bool) -> bool {
        let news = self.leaving != leaving;
        self.leaving = leaving;
        news
    }

    /// Whether it did not answer when it was asked for a sign of life.
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Notes whether it answered when it was asked for a sign of life; tells
    /// whether that is news.
    pub const fn set_down(&mut self, down: bool) -> bool {
        let news = self.down != down;
        self.down = down;
        news
    }

    /// Whether its last request failed.
    pub const fn has_recent_failure(&self) -> bool {
        self.failures > 0
    }

    /// Notes a whole answer and the time that it took.
    pub fn record_response(&mut self, took: Millis, now: Tick) {
        self.latency_ms += LATENCY_WEIGHT * (took.0 as f64 - self.latency_ms);
        self.record_activity(now);
    }

    /// Notes that something came of it.
    pub fn record_activity(&mut self, now: Tick) {
        self.last_seen = now;
        self.failures = 0;
        self.paused_until = Tick(0);
    }

    /// Notes a failure, which takes it out of use for some time.
    pub fn record_failure(&mut self, now: Tick) {
        let pause = FIRST_PAUSE.0.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.paused_until = now.after(Millis(pause.min(LONGEST_PAUSE.0)));
    }

    /// Takes in what an engine says that it holds, and how many orders it has
    /// begun.
    pub const fn apply_report(&mut self, layers: Option<LayerRange>, orders: u64) {
        self.backend.layers = layers;
        self.backend.orders = orders;
    }

    /// Takes in how much slower than usual an engine says that it is.
    pub const fn record_slowdown(&mut self, slowness: f64, now: Tick) {
        self.pace = Some((slowness, now));
    }

    /// How much slower it is than usual, by its last word; 1 is usual.
    pub fn slowdown(&self, now: Tick) -> f64 {
        let known = self.pace.filter(|(_, at)| now.since(*at) < PACE_HOLDS);
        known.map_or(1.0, |(slowness, _)| slowness)
    }

    /// Whether it is time to ask an engine of a silent run for its pace.
    pub fn is_slowdown_stale(&self, now: Tick) -> bool {
        self.pace.is_none_or(|(_, at)| now.since(at) >= PACE_ASKED_AGAIN)
    }

    /// Notes that it took a connection for a sign of life.
    pub const fn record_connection(&mut self, now: Tick) {
        self.reached_at = Some(now);
    }

    /// Whether something came of it so lately that a silent run is no reason
    /// to doubt it.
    pub fn is_recently_alive(&self, now: Tick) -> bool {
        let reached = self.reached_at.is_some_and(|at| now.since(at) < REACHED_HOLDS);
        reached || now.since(self.last_seen) < ALIVE_HOLDS
    }

    /// Mean answer time, in ms.
    pub const fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Requests that it may still be sent. What the other entries have begun
    /// since they last told is left some room.
    fn free_slots(&self) -> u32 {
        let given = (f64::from(self.backend.slots) * SLOT_SHARE) as u32;
        given.saturating_sub(self.in_flight + self.remote_in_flight)
    }

    /// The engine as a part of a path, if it holds layers.
    pub fn as_path_candidate(&self, spec: &EngineSpec, now: Tick) -> Option<PathCandidate> {
        let layers = self.backend.layers?;
        let card = spec.card(self.backend.card.as_ref()?)?;
        let running = f64::from(self.in_flight + self.remote_in_flight);
        let context = f64::from(spec.typical_prompt_tokens) / TOKENS_PER_KILOTOKEN;
        let per_request = spec.step_ms_per_request + spec.step_ms_per_kilotoken * context;
        let step = spec.step_ms + per_request * running;
        let slowness = self.slowdown(now);
        let speed = slowness / spec.prefill_tokens_per_ms;
        Some(PathCandidate {
            id: self.backend.id.clone(),
            address: self.backend.address,
            domain: self.backend.domain.clone(),
            layers,
            step_ms: step * card.step_factor * slowness,
            prefill_ms_per_token: card.prefill_factor * speed,
            capacity_tokens: spec.context_capacity(card, layers.count()),
            used_tokens: self.used_tokens + self.remote_tokens,
            free_slots: self.free_slots(),
        })
    }
}

const TOKENS_PER_KILOTOKEN: f64 = 1_000.0;
