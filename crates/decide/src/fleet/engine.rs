//! The engines of a pool and the model that they hold together.

use clementine_objects::Millis;

use crate::ids::{CardId, DomainId};

/// The engines of a pool and the model that they hold together.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Layers of the model.
    pub layers: u32,
    /// Memory that one layer takes, in MB.
    pub layer_mb: f64,
    /// Memory that one token of context takes over all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// Time of a decode step over all layers on the reference accelerator, in ms.
    pub step_ms: f64,
    /// Time that each writing request adds to a step, in ms.
    pub step_ms_per_request: f64,
    /// Time that 1,000 tokens of context add to a step, in ms.
    pub step_ms_per_kilotoken: f64,
    /// Prompt tokens that the reference accelerator reads in one ms.
    pub prefill_tokens_per_ms: f64,
    /// Time to load the whole model.
    pub load_time: Millis,
    /// Loads that share the weight store without slowing each other.
    pub loads_at_once: u32,
    /// Size of the activations that one token hands to the next stage, in bytes.
    pub activation_bytes: f64,
    /// Capacity of the link between two failure domains, in bytes per ms.
    pub domain_link_bytes_per_ms: f64,
    /// One-way delays between failure domains, in ms.
    pub delays: Vec<(DomainId, DomainId, f64)>,
    /// Tokens of a usual prompt.
    pub typical_prompt_tokens: u32,
    /// Tokens of a usual answer.
    pub typical_output_tokens: u32,
    /// Types of accelerator that may hold layers.
    pub cards: Vec<CardSpec>,
}

/// A type of accelerator.
#[derive(Debug, Clone, PartialEq)]
pub struct CardSpec {
    /// Name of the type.
    pub id: CardId,
    /// Memory for layers and for the context of requests, in MB.
    pub memory_mb: f64,
    /// Time of a step, as a multiple of the reference accelerator's.
    pub step_factor: f64,
    /// Time to read a prompt, as a multiple of the reference accelerator's.
    pub prefill_factor: f64,
}

/// Bytes in one MB, as the memory of accelerators is given.
const BYTES_PER_MB: f64 = 1e6;

impl EngineSpec {
    /// The accelerator type of a name.
    pub fn card(&self, id: &CardId) -> Option<&CardSpec> {
        self.cards.iter().find(|card| card.id == *id)
    }

    /// Layers that fit on a card beside the context of `tokens` tokens.
    pub fn max_layers(&self, card: &CardSpec, tokens: f64) -> u32 {
        let context_mb = self.kv_bytes_per_token / f64::from(self.layers) * tokens / BYTES_PER_MB;
        let fit = card.memory_mb / (self.layer_mb + context_mb);
        (fit.floor() as u32).min(self.layers)
    }

    /// Tokens of context that fit beside `held` layers on a card.
    pub fn context_capacity(&self, card: &CardSpec, held: u32) -> f64 {
        let free_mb = card.memory_mb - self.layer_mb * f64::from(held);
        let per_token = self.kv_bytes_per_token / f64::from(self.layers) * f64::from(held.max(1));
        (free_mb * BYTES_PER_MB / per_token).max(0.0)
    }

    /// Share of the model that `count` layers are.
    pub fn model_fraction(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.layers.max(1))
    }

    /// One-way delay between two failure domains, in ms.
    pub fn delay_ms(&self, a: &DomainId, b: &DomainId) -> f64 {
        let joins = |x: &DomainId, y: &DomainId| (x == a && y == b) || (x == b && y == a);
        let found = self.delays.iter().find(|(x, y, _)| joins(x, y));
        found.map_or(0.0, |(_, _, delay)| *delay)
    }
}
