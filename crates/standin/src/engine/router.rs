//! Routing of requests to the engine.

use std::cell::RefCell;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use clementine_objects::{LayerRange, Millis};
use clementine_process::http::json_response;
use serde_json::{Value, json};

use super::completion::{Completion, Endpoint};
use super::stages::{StageExecutor, StepRequest};
use super::stream::stream_response;
use crate::web::{error_response, json_body};

/// Settings of the engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineSettings {
    /// Time to generate one token.
    pub(crate) token_time: Millis,
    /// Layers that the engine holds. Required for step requests.
    pub(crate) layers: Option<LayerRange>,
    /// Number of layers of the model.
    pub(crate) model_layers: u32,
    /// Text in a prompt or activation that makes the process abort.
    pub(crate) crash_on: Option<String>,
}

/// A fake model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    settings: EngineSettings,
    stages: RefCell<Option<StageExecutor>>,
    /// Request ids of the completions that were started.
    completions: RefCell<Vec<String>>,
}

impl Engine {
    /// Creates an engine without requests.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let stages =
            settings.layers.map(|layers| StageExecutor::new(layers, settings.model_layers));
        Self { settings, stages: RefCell::new(stages), completions: RefCell::default() }
    }

    /// Handles a request.
    pub(crate) async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        match (req.method().clone(), req.path()) {
            (Method::POST, "/v1/chat/completions") => self.complete(Endpoint::Chat, req).await,
            (Method::POST, "/v1/completions") => self.complete(Endpoint::Text, req).await,
            (Method::POST, "/v1/stages/forward") => {
                let body = json_body(&mut req).await;
                self.forward(body).await
            }
            (Method::GET, "/record") => self.record(),
            (Method::GET, "/health") => json_response(StatusCode::OK, &json!({})),
            _ => error_response(StatusCode::NOT_FOUND, "no such endpoint"),
        }
    }

    async fn complete(&self, endpoint: Endpoint, mut req: Request) -> Response<BoxBody> {
        let id = req.headers().get("x-request-id").and_then(|v| v.to_str().ok());
        let id = id.unwrap_or("none").to_owned();
        let body = json_body(&mut req).await;
        let completion = match Completion::parse(endpoint, &id, &body) {
            Ok(completion) => completion,
            Err(message) => return error_response(StatusCode::BAD_REQUEST, message),
        };
        self.crash_on(&completion.prompt);
        self.completions.borrow_mut().push(id);
        let token_time = self.settings.token_time.duration();
        if completion.stream {
            return stream_response(completion, token_time);
        }
        let tokens = completion.end - completion.first;
        if !token_time.is_zero() {
            tokio::time::sleep(token_time * tokens).await;
        }
        json_response(StatusCode::OK, &completion.full_response())
    }

    async fn forward(&self, body: Value) -> Response<BoxBody> {
        let Ok(step) = serde_json::from_value::<StepRequest>(body) else {
            return error_response(StatusCode::BAD_REQUEST, "not a step");
        };
        self.crash_on(&step.activation);
        let token_time = self.settings.token_time.duration();
        if !token_time.is_zero() {
            tokio::time::sleep(token_time).await;
        }
        let output = self.stages.borrow_mut().as_mut().map(|stages| stages.forward(&step));
        match output {
            Some(Ok(activation)) => {
                json_response(StatusCode::OK, &json!({ "activation": activation }))
            }
            Some(Err(message)) => error_response(StatusCode::CONFLICT, &message),
            None => error_response(StatusCode::NOT_FOUND, "this engine holds no layers"),
        }
    }

    fn record(&self) -> Response<BoxBody> {
        let stages = self.stages.borrow();
        let steps = stages.as_ref().map(StageExecutor::executed).unwrap_or_default();
        let record = json!({ "completions": *self.completions.borrow(), "steps": steps });
        json_response(StatusCode::OK, &record)
    }

    fn crash_on(&self, prompt: &str) {
        if self.settings.crash_on.as_ref().is_some_and(|text| prompt.contains(text.as_str())) {
            std::process::abort();
        }
    }
}
