//! HTTP client for running steps at the agent's engine.

use std::time::Duration;

use awc::{Client, Connector};
use bytes::Bytes;
use clementine_decide::stage::StepId;
use serde::{Deserialize, Serialize};

use crate::backend::BackendAddress;

/// Timeout of one step at the engine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of connections to the engine.
const MAX_CONNECTIONS: usize = 4_096;

/// Client of the engine's step endpoint.
#[derive(Clone)]
pub(super) struct StageEngine {
    client: Client,
    url: String,
}

impl std::fmt::Debug for StageEngine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StageEngine").field("url", &self.url).finish_non_exhaustive()
    }
}

#[derive(Serialize)]
struct StepRequest<'a> {
    request: String,
    epoch: u32,
    token: u32,
    activation: &'a str,
}

#[derive(Deserialize)]
struct StepOutput {
    activation: String,
}

impl StageEngine {
    /// Creates a client for the engine at an address.
    pub(super) fn new(backend: BackendAddress) -> Self {
        let connector = Connector::new().limit(MAX_CONNECTIONS);
        let client = Client::builder().connector(connector).disable_redirects().finish();
        Self { client, url: format!("{backend}/v1/stages/forward") }
    }

    /// Runs one step and returns the output activation. Returns `None` if the
    /// engine fails or has lost the request's state.
    pub(super) async fn forward(&self, step: StepId, activation: &Bytes) -> Option<Bytes> {
        let body = StepRequest {
            request: step.work.to_string(),
            epoch: step.epoch.0,
            token: step.token.0,
            activation: std::str::from_utf8(activation).ok()?,
        };
        let request = self.client.post(&self.url).timeout(STEP_TIMEOUT);
        let mut response = request.send_json(&body).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let output: StepOutput = response.json().await.ok()?;
        Some(output.activation.into_bytes().into())
    }
}
