//! How much context engines keep room for beside their layers.

use crate::fleet::{CardSpec, EngineSpec};

/// Copies of the model that a failure domain's engines hold: one whole, and
/// spares for the loss of an engine.
const COPIES: f64 = 1.35;
/// Tokens of context beside each layer of which there is never less.
const LEAST_CONTEXT: f64 = 40_000.0;
/// Largest number of tokens that is tried, and the step between two tries.
const MOST_CONTEXT: f64 = 400_000.0;
const STEP: f64 = 5_000.0;

/// Tokens of context that each engine of a failure domain keeps room for.
///
/// Every copy of the model takes memory from the context of requests, and a
/// request needs room at every layer: what binds is the layer with the fewest
/// copies. A part of a copy beside a whole one adds nothing to it, so the engines
/// hold one copy and some spares.
pub fn context_beside_layers(spec: &EngineSpec, cards: &[&CardSpec]) -> f64 {
    let wanted = COPIES * f64::from(spec.layers);
    let mut tokens = MOST_CONTEXT;
    while tokens > LEAST_CONTEXT {
        let held: u32 = cards.iter().map(|card| spec.layers_beside(card, tokens)).sum();
        if f64::from(held) >= wanted {
            break;
        }
        tokens -= STEP;
    }
    tokens.max(LEAST_CONTEXT)
}
