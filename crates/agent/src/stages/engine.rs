//! Steps at the engine beside the agent.

use std::time::Duration;

use bytes::Bytes;
use clementine_decide::stage::StageInput;
use serde::{Deserialize, Serialize};

use crate::backend::BackendClient;

/// Longest time of one step at the engine.
const STEP_TIME: Duration = Duration::from_secs(30);

#[derive(Serialize)]
struct Step<'a> {
    request: String,
    epoch: u32,
    token: u32,
    activation: &'a str,
}

#[derive(Deserialize)]
struct StepOutput {
    activation: String,
}

/// Runs one step at the engine; `None` when the engine fails or has lost the
/// request's state.
pub(super) async fn forward(
    client: &BackendClient,
    input: StageInput,
    activation: &Bytes,
) -> Option<Bytes> {
    let step = Step {
        request: input.work.to_string(),
        epoch: input.epoch.0,
        token: input.token.0,
        activation: std::str::from_utf8(activation).ok()?,
    };
    let request = client
        .for_requests(clementine_objects::Repeat::Safe)
        .post(client.url("/v1/stages/forward"))
        .timeout(STEP_TIME);
    let mut response = request.send_json(&step).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let output: StepOutput = response.json().await.ok()?;
    Some(output.activation.into_bytes().into())
}
