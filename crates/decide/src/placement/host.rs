//! Input and output types of the layer placement.

use clementine_objects::LayerRange;

use crate::ids::{BackendId, DomainId};

/// An engine to which layers can be assigned.
#[derive(Debug, Clone, PartialEq)]
pub struct LayerHost {
    /// Id of the engine.
    pub id: BackendId,
    /// Failure domain of the engine.
    pub domain: DomainId,
    /// Maximum number of layers that fit in memory in addition to the reserved KV
    /// cache.
    pub max_layers: u32,
    /// KV cache capacity in tokens with `max_layers` layers loaded.
    pub context_tokens: f64,
    /// Layers that the engine has loaded or is loading.
    pub layers: Option<LayerRange>,
    /// Whether the engine is carrying out a load order. It gets no other order until
    /// that one is complete.
    pub loading: bool,
}

/// Assignment of layers to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Id of the engine.
    pub id: BackendId,
    /// Layers to load. They replace all layers that the engine has loaded.
    pub layers: LayerRange,
    /// Whether the engine has other layers loaded, which requests may be using.
    pub replaces: bool,
    /// Whether some of the layers are missing in the failure domain until they
    /// are loaded.
    pub urgent: bool,
}
