//! An engine that holds a range of layers.
//!
//! The activation between stages is `DIGEST:TOKEN:LAYER`: digest of the
//! prompt, step, and the next layer to be applied. The first stage takes the
//! prompt at step 0 and any text at later steps.

use std::collections::HashMap;

use clementine_objects::LayerRange;
use serde::{Deserialize, Serialize};

use super::tokens::{prompt_digest, token};

/// One step of a request at this engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct StepRequest {
    pub(crate) request: String,
    pub(crate) epoch: u32,
    pub(crate) token: u32,
    pub(crate) activation: String,
}

/// A step that ran, with the layers that were applied.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct StepRecord {
    request: String,
    epoch: u32,
    token: u32,
    layers: LayerRange,
}

/// State of the requests in this engine.
#[derive(Debug)]
pub(crate) struct StageExecutor {
    layers: LayerRange,
    model_layers: u32,
    /// Next step and prompt digest by request and epoch.
    states: HashMap<(String, u32), (u32, u64)>,
    executed: Vec<StepRecord>,
}

impl StageExecutor {
    /// An engine without requests.
    pub(crate) fn new(layers: LayerRange, model_layers: u32) -> Self {
        Self { layers, model_layers, states: HashMap::new(), executed: Vec::new() }
    }

    /// The steps that ran.
    pub(crate) fn executed(&self) -> &[StepRecord] {
        &self.executed
    }

    /// Applies this engine's layers to one step.
    pub(crate) fn forward(&mut self, step: &StepRequest) -> Result<String, String> {
        let key = (step.request.clone(), step.epoch);
        let (expected, stored_digest) = self.states.get(&key).copied().unwrap_or((0, 0));
        if step.token != expected {
            return Err(format!("step {} given, step {expected} expected", step.token));
        }
        let digest = self.digest(step, stored_digest)?;
        self.states.insert(key, (step.token + 1, digest));
        self.executed.push(StepRecord {
            request: step.request.clone(),
            epoch: step.epoch,
            token: step.token,
            layers: self.layers,
        });
        let next_layer = self.layers.last() + 1;
        if next_layer == self.model_layers {
            return Ok(token(digest, step.token));
        }
        Ok(format!("{digest}:{}:{next_layer}", step.token))
    }

    fn digest(&self, step: &StepRequest, stored_digest: u64) -> Result<u64, String> {
        if self.layers.first() == 0 {
            return Ok(if step.token == 0 {
                prompt_digest(&step.activation)
            } else {
                stored_digest
            });
        }
        let mut parts = step.activation.split(':').map(str::parse::<u64>);
        let (Some(Ok(digest)), Some(Ok(token)), Some(Ok(layer))) =
            (parts.next(), parts.next(), parts.next())
        else {
            return Err("the activation is malformed".to_owned());
        };
        if token != u64::from(step.token) || layer != u64::from(self.layers.first()) {
            return Err(format!("the activation is of step {token} before layer {layer}"));
        }
        Ok(digest)
    }
}
