//! How much context engines keep room for beside their layers.

use crate::fleet::{CardSpec, EngineSpec};

/// Two whole copies of the model, and a spare engine.
const TWO_COPIES: f64 = 2.1;
/// One whole copy, and spares for the loss of an engine.
const ONE_COPY: f64 = 1.35;
/// Tokens of context beside each of two copies that are enough for two.
const ENOUGH_FOR_TWO: f64 = 50_000.0;
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
/// hold two copies where memory is ample, and otherwise one with some spares.
pub fn context_beside_layers<'a>(
    spec: &EngineSpec,
    cards: impl Iterator<Item = &'a CardSpec> + Clone,
) -> f64 {
    let beside_two = most_context(spec, cards.clone(), TWO_COPIES);
    if beside_two >= ENOUGH_FOR_TWO { beside_two } else { most_context(spec, cards, ONE_COPY) }
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
