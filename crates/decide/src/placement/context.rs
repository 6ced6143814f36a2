//! Split of an engine's memory between layers and KV cache.

use crate::fleet::{AcceleratorSpec, EngineSpec};

/// Desired number of model copies per failure domain: one complete copy, and
/// spare layers for the loss of an engine.
const TARGET_COPIES: f64 = 1.25;
/// Minimum KV cache capacity of an engine, in tokens.
const MIN_CONTEXT_TOKENS: f64 = 40_000.0;
/// Maximum KV cache capacity as a multiple of what the slots of one engine need
/// for typical requests. The margin covers requests of different sizes, and
/// domains that run more requests because they have spare engines.
const CONTEXT_MARGIN: f64 = 1.4;
/// Step by which the KV cache capacity is reduced until the copies fit, in
/// tokens.
const CONTEXT_STEP_TOKENS: f64 = 5_000.0;

/// Returns the KV cache capacity in tokens that each engine of a failure domain
/// reserves in addition to its layers.
///
/// Each copy of the model takes memory from the KV cache, and a request needs
/// KV cache at every layer, so capacity is limited by the layer with the fewest
/// copies. An incomplete second copy does not raise that limit, so the engines
/// hold one copy and some spare layers. A first engine runs at most `slots`
/// requests; KV cache beyond what these need would stay unused, so that memory is
/// used for further copies.
pub fn context_tokens_per_engine(
    spec: &EngineSpec,
    accelerators: &[&AcceleratorSpec],
    slots: u32,
) -> f64 {
    let target_layers = TARGET_COPIES * f64::from(spec.layers);
    let request_tokens = f64::from(spec.typical_prompt_tokens + spec.typical_output_tokens);
    let mut tokens = (f64::from(slots) * request_tokens * CONTEXT_MARGIN).max(MIN_CONTEXT_TOKENS);
    while tokens > MIN_CONTEXT_TOKENS {
        let layers: u32 =
            accelerators.iter().map(|accelerator| spec.max_layers(accelerator, tokens)).sum();
        if f64::from(layers) >= target_layers {
            break;
        }
        tokens -= CONTEXT_STEP_TOKENS;
    }
    tokens.max(MIN_CONTEXT_TOKENS)
}
