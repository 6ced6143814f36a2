//! How much context engines keep room for beside their layers.

use crate::fleet::{CardSpec, EngineSpec};

/// Copies of the model that a failure domain's engines hold: one whole, and
/// spares for the loss of an engine.
const COPIES: f64 = 1.25;
/// Tokens of context beside each layer of which there is never less.
const LEAST_CONTEXT: f64 = 40_000.0;
/// Part by which the context of as many usual requests as an engine begins is
/// exceeded at most: sizes differ, and spares let a domain begin more.
const REQUESTS_MARGIN: f64 = 1.4;
/// Step between two numbers of tokens that are tried.
const STEP: f64 = 5_000.0;

/// Tokens of context that each engine of a failure domain keeps room for.
///
/// Every copy of the model takes memory from the context of requests, and a
/// request needs room at every layer: what binds is the layer with the fewest
/// copies. A part of a copy beside a whole one adds nothing to it, so the engines
/// hold one copy and some spares. Context beyond what the requests of a first
/// engine take, of which there are at most `slots`, would stay empty: the memory
/// goes to further copies.
pub fn context_tokens_per_engine(spec: &EngineSpec, cards: &[&CardSpec], slots: u32) -> f64 {
    let wanted = COPIES * f64::from(spec.layers);
    let usual = f64::from(spec.typical_prompt_tokens + spec.typical_output_tokens);
    let mut tokens = (f64::from(slots) * usual * REQUESTS_MARGIN).max(LEAST_CONTEXT);
    while tokens > LEAST_CONTEXT {
        let held: u32 = cards.iter().map(|card| spec.max_layers(card, tokens)).sum();
        if f64::from(held) >= wanted {
            break;
        }
        tokens -= STEP;
    }
    tokens.max(LEAST_CONTEXT)
}
