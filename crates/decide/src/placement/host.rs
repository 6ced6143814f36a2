//! An engine as the plan sees it.

use clementine_objects::LayerRange;

use crate::ids::{BackendId, DomainId};

/// An engine as the plan sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct LayerHost {
    /// The engine.
    pub id: BackendId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Layers that it can hold beside the context of its requests.
    pub max_layers: u32,
    /// Tokens of context for which it has room beside as many layers.
    pub context_tokens: f64,
    /// Layers that it holds or is about to hold.
    pub layers: Option<LayerRange>,
    /// Whether it is carrying out an order; it is given no other meanwhile.
    pub loading: bool,
}

/// Layers that an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The engine.
    pub id: BackendId,
    /// The layers, which replace those that it holds.
    pub layers: LayerRange,
    /// Whether the engine holds other layers, which requests may be using.
    pub replaces: bool,
    /// Whether a failure domain lacks some of the layers until then.
    pub urgent: bool,
}
