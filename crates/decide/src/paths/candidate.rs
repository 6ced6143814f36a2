//! Engines that a request may pass through, and its demand.

use std::net::SocketAddr;

use clementine_objects::LayerRange;

use crate::ids::{BackendId, DomainId};

/// An engine that a request may pass through.
#[derive(Debug, Clone)]
pub struct PathCandidate {
    /// The engine.
    pub id: BackendId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Time of a decode step over all layers, in ms, as it runs now.
    pub step_ms: f64,
    /// Time to read one prompt token through all layers, in ms, as it runs now.
    pub prefill_ms_per_token: f64,
    /// Tokens of context that fit beside its layers.
    pub capacity_tokens: f64,
    /// Tokens of context that are taken.
    pub used_tokens: f64,
    /// Requests that it may still begin as the first of a path. Further ones
    /// would wait there until others end.
    pub free_slots: u32,
}

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Tokens to read.
    pub prompt_tokens: f64,
    /// Tokens that are expected to be written.
    pub output_tokens: f64,
}

/// A part of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathStage {
    /// The engine.
    pub id: BackendId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Layers that the request runs there.
    pub layers: LayerRange,
}
