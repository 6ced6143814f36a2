//! Input and output types of the path search.

use std::net::SocketAddr;

use clementine_objects::{LayerRange, Millis};

use crate::ids::{BackendId, DomainId};

/// Current state of an engine that can be part of a path.
#[derive(Debug, Clone)]
pub struct PathCandidate {
    /// Id of the engine.
    pub id: BackendId,
    /// Address on which the engine accepts requests.
    pub address: SocketAddr,
    /// Failure domain of the engine.
    pub domain: DomainId,
    /// Layers that the engine has loaded.
    pub layers: LayerRange,
    /// Duration of a decode step over all layers of the model under the current
    /// load, in ms.
    pub step_ms: f64,
    /// Time that each further request adds to a decode step over all layers of the
    /// model, in ms.
    pub step_ms_per_request: f64,
    /// Prefill time per prompt token over all layers of the model at the current
    /// speed, in ms.
    pub prefill_ms_per_token: f64,
    /// KV cache capacity in the memory left by the loaded layers, in tokens.
    pub capacity_tokens: f64,
    /// KV cache tokens that are reserved by requests.
    pub used_tokens: f64,
    /// Number of requests that run on the engine.
    pub running: f64,
    /// Number of further requests that the engine can accept as the first stage
    /// of their path. Requests beyond it would be queued.
    pub free_slots: u32,
    /// Prefill work that was sent to the engine and is not done yet, in ms.
    pub prefill_backlog_ms: f64,
    /// Leading prompt tokens of the request whose KV cache the engine already has,
    /// so that they need no prefill there in `cached_layers`.
    pub cached_prompt_tokens: f64,
    /// Layers for which the engine has that KV cache.
    pub cached_layers: Option<LayerRange>,
}

impl PathCandidate {
    /// Leading prompt tokens that need no prefill if the engine runs these layers.
    pub fn cached_tokens(&self, layers: LayerRange) -> f64 {
        let covers =
            |cached: LayerRange| cached.first() <= layers.first() && layers.end() <= cached.end();
        if self.cached_layers.is_some_and(covers) { self.cached_prompt_tokens } else { 0.0 }
    }
}

/// What a path is searched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathPurpose {
    /// A request that has not begun.
    NewRequest,
    /// A request that has lost an engine of its path. All requests with that engine
    /// look for a path at the same moment, at all entries.
    Repair,
}

/// What a caller expects of a request. `None` sets no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathTargets {
    /// Time to the first event.
    pub first_event: Option<Millis>,
    /// Longest pause between two events.
    pub gap: Option<Millis>,
    /// Time that is left for the whole request.
    pub time_left: Option<Millis>,
}

/// Resources that a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Number of tokens to prefill.
    pub prompt_tokens: f64,
    /// Expected number of generated tokens.
    pub output_tokens: f64,
}

/// One stage of a path: an engine and the layers that it runs for the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathStage {
    /// Id of the engine.
    pub id: BackendId,
    /// Address on which the engine accepts requests.
    pub address: SocketAddr,
    /// Layers that the engine runs for the request.
    pub layers: LayerRange,
}
