//! How much context engines keep room for beside their layers.

use crate::fleet::{CardSpec, EngineSpec};

/// Copies of the model for which a failure domain's engines have room where
/// that leaves enough context.
const COPIES: f64 = 1.6;
/// Copies where it does not: one whole, and spares for the loss of an engine.
const COPIES_AT_LEAST: f64 = 1.35;
/// Tokens of context beside each layer that are enough for [`COPIES`].
const ENOUGH_CONTEXT: f64 = 100_000.0;
/// Tokens of context beside each layer of which there is never less.
const LEAST_CONTEXT: f64 = 40_000.0;
/// Largest number of tokens that is tried, and the step between two tries.
const MOST_CONTEXT: f64 = 400_000.0;
const STEP: f64 = 5_000.0;

/// Tokens of context that each engine of a failure domain keeps room for.
///
/// Every copy of the model takes memory from the context of requests, and a
/// request needs room at every layer: what binds is the layer with the fewest
/// copies. So the engines hold little more than one copy, and more only where
/// memory is ample.
pub fn context_beside_layers<'a>(
    spec: &EngineSpec,
    cards: impl Iterator<Item = &'a CardSpec> + Clone,
) -> f64 {
    let ample = most_context(spec, cards.clone(), COPIES);
    if ample >= ENOUGH_CONTEXT { ample } else { most_context(spec, cards, COPIES_AT_LEAST) }
}

/// Most context beside each layer with which the cards hold some copies.
fn most_context<'a>(
    spec: &EngineSpec,
    cards: impl Iterator<Item = &'a CardSpec> + Clone,
    copies: f64,
) -> f64 {
    let wanted = copies * f64::from(spec.layers);
    let mut tokens = MOST_CONTEXT;
    while tokens > LEAST_CONTEXT {
        let held: u32 = cards.clone().map(|card| spec.layers_beside(card, tokens)).sum();
        if f64::from(held) >= wanted {
            break;
        }
        tokens -= STEP;
    }
    tokens.max(LEAST_CONTEXT)
}
