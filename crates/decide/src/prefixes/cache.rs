//! Identity of the KV cache of an engine.

use clementine_objects::LayerRange;

use crate::fleet::BackendIncarnation;
use crate::ids::{BackendId, Tick};

/// Identifies the period in which an engine has kept its KV cache. It changes when
/// the engine restarts, loads other layers or is found down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CacheGeneration {
    /// Start of the engine.
    pub incarnation: BackendIncarnation,
    /// When the engine was listed. One that doesn't report its start may have
    /// restarted between two listings.
    pub listed_at: Tick,
    /// Number of times since then that the engine has lost its KV cache.
    pub losses: u32,
}

/// KV cache of some layers on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCache {
    /// The engine.
    pub engine: BackendId,
    /// Period for which the cache exists.
    pub generation: CacheGeneration,
    /// Layers for which a request runs on the engine.
    pub layers: LayerRange,
}
