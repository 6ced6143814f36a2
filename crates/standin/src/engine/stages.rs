//! Execution of steps by an engine that holds a range of layers.
//!
//! Activations between stages have the form `DIGEST:TOKEN:LAYER`: the digest of
//! the prompt, the index of the step and the next layer to apply. The input of the
//! first stage is the prompt at step 0 and any text at later steps.

use std::collections::HashMap;

use clementine_objects::LayerRange;
use serde::{Deserialize, Serialize};

use super::tokens::{prompt_digest, token};

/// Body of a request to run one step.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct StepRequest {
    pub(crate) request: String,
    pub(crate) epoch: u32,
    pub(crate) token: u32,
    pub(crate) activation: String,
}

/// An executed step with the layers that were applied.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct StepRecord {
    request: String,
    epoch: u32,
    token: u32,
    layers: LayerRange,
}

/// Executes steps and checks that those of a request arrive in order.
#[derive(Debug)]
pub(crate) struct StageExecutor {
    layers: LayerRange,
    model_layers: u32,
    /// Next step and prompt digest by request and epoch.
    states: HashMap<(String, u32), (u32, u64)>,
    executed: Vec<StepRecord>,
}

impl StageExecutor {
    /// Creates an executor without requests.
    pub(crate) fn new(layers: LayerRange, model_layers: u32) -> Self {
        Self { layers, model_layers, states: HashMap::new(), executed: Vec::new() }
    }

    /// Returns the executed steps.
    pub(crate) fn executed(&self) -> &[StepRecord] {
        &self.executed
    }

    /// Applies this engine's layers to one step. Returns an error message if the
    /// step is out of order or its activation does not match.
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

    /// Returns the digest of the request's prompt.
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
