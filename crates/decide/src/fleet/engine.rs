//! Performance model of the engines of a pool and of the model that they serve.

use clementine_objects::Millis;

use crate::ids::{AcceleratorType, DomainId};

/// Performance model of the engines of a pool and of the model that they serve
/// together.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory used by the weights of one layer, in MB.
    pub layer_mb: f64,
    /// KV cache size of one token over all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// Duration of a decode step over all layers on the reference accelerator,
    /// in ms.
    pub step_ms: f64,
    /// Time that each request in the decode phase adds to a step, in ms.
    pub step_ms_per_request: f64,
    /// Time that 1,000 tokens of context add to a step, in ms.
    pub step_ms_per_kilotoken: f64,
    /// Prefill throughput of the reference accelerator, in tokens per ms.
    pub prefill_tokens_per_ms: f64,
    /// Time to load all layers of the model.
    pub load_time: Millis,
    /// Maximum number of concurrent loads that the weight store serves without
    /// slowdown.
    pub max_concurrent_loads: u32,
    /// Size of the activations that are sent to the next stage per token, in
    /// bytes.
    pub activation_bytes: f64,
    /// Bandwidth of the link between two failure domains, in bytes per ms.
    pub domain_link_bytes_per_ms: f64,
    /// One-way network latency between pairs of failure domains, in ms.
    pub delays: Vec<(DomainId, DomainId, f64)>,
    /// Prompt length of a typical request, in tokens.
    pub typical_prompt_tokens: u32,
    /// Output length of a typical request, in tokens.
    pub typical_output_tokens: u32,
    /// Accelerator types that can serve layers.
    pub accelerators: Vec<AcceleratorSpec>,
}

/// An accelerator type.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceleratorSpec {
    /// Name of the type.
    pub id: AcceleratorType,
    /// Memory for weights and KV cache, in MB.
    pub memory_mb: f64,
    /// Decode time relative to the reference accelerator.
    pub step_factor: f64,
    /// Prefill time relative to the reference accelerator.
    pub prefill_factor: f64,
}

/// Bytes per MB. Accelerator memory is specified in decimal megabytes.
const BYTES_PER_MB: f64 = 1e6;

impl EngineSpec {
    /// Finds an accelerator type by name.
    pub fn accelerator(&self, id: &AcceleratorType) -> Option<&AcceleratorSpec> {
        self.accelerators.iter().find(|accelerator| accelerator.id == *id)
    }

    /// Maximum number of layers that fit on an accelerator while leaving memory for
    /// the KV cache of `tokens` tokens.
    pub fn max_layers(&self, accelerator: &AcceleratorSpec, tokens: f64) -> u32 {
        let context_mb = self.kv_bytes_per_token / f64::from(self.layers) * tokens / BYTES_PER_MB;
        let layers = accelerator.memory_mb / (self.layer_mb + context_mb);
        (layers.floor() as u32).min(self.layers)
    }

    /// KV cache capacity in tokens of an accelerator that has `layers` layers
    /// loaded.
    pub fn context_capacity(&self, accelerator: &AcceleratorSpec, layers: u32) -> f64 {
        let free_mb = accelerator.memory_mb - self.layer_mb * f64::from(layers);
        let per_token = self.kv_bytes_per_token / f64::from(self.layers) * f64::from(layers.max(1));
        (free_mb * BYTES_PER_MB / per_token).max(0.0)
    }

    /// Time that an accelerator takes to load as many layers as it holds.
    pub fn max_load_time(&self, accelerator: &AcceleratorSpec) -> Millis {
        let fraction = self.model_fraction(self.max_layers(accelerator, 0.0));
        Millis((self.load_time.0 as f64 * fraction).ceil() as u64)
    }

    /// Fraction of the model that `count` layers make up.
    pub fn model_fraction(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.layers.max(1))
    }

    /// One-way network latency between two failure domains in ms; 0 if unknown.
    pub fn delay_ms(&self, a: &DomainId, b: &DomainId) -> f64 {
        let matches = |x: &DomainId, y: &DomainId| (x == a && y == b) || (x == b && y == a);
        let found = self.delays.iter().find(|(x, y, _)| matches(x, y));
        found.map_or(0.0, |(_, _, delay)| *delay)
    }
}
