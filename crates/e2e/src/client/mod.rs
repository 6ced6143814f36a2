//! HTTP client for the API of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures::StreamExt;
use serde_json::{Value, json};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A response that was read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `clementine-outcome` header; empty if absent.
    pub outcome: String,
    /// Value of the `retry-after` header.
    pub retry_after: Option<String>,
    /// Response body.
    pub body: Bytes,
}

impl ApiResponse {
    /// Returns the body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the code of the JSON error in the body; empty if there is none.
    pub fn error_code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the message text of a non-streaming chat completion.
    pub fn chat_text(&self) -> String {
        let json = self.json();
        json["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// The part of a streamed chat completion that was received.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StreamedResponse {
    /// Concatenated text of all tokens.
    pub text: String,
    /// Number of tokens.
    pub tokens: usize,
    /// Whether the stream ended with `[DONE]`.
    pub done: bool,
    /// Error reported in an event of the stream.
    pub error: Option<Value>,
}

impl StreamedResponse {
    fn handle_event(&mut self, event: &str) {
        let data = event.trim().trim_start_matches("data: ");
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else { return };
        if !event["error"].is_null() {
            self.error = Some(event["error"].clone());
        }
        let delta = event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        if !delta.is_empty() {
            self.text.push_str(delta);
            self.tokens += 1;
        }
    }
}

/// HTTP client of one entry.
#[derive(Clone)]
pub struct ApiClient {
    http: Client,
    entry: SocketAddr,
    token: String,
}

impl std::fmt::Debug for ApiClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ApiClient").field("entry", &self.entry).finish_non_exhaustive()
    }
}

impl ApiClient {
    /// Creates a client that authenticates with a bearer token.
    pub fn new(entry: SocketAddr, token: &str) -> Self {
        let http = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self { http, entry, token: token.to_owned() }
    }

    /// Sends a request and reads the complete response; `None` if the connection
    /// fails or the request times out.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<ApiResponse> {
        let request = self.request(method, path, headers);
        let mut response = request.send_body(body.to_owned()).await.ok()?;
        let header = |name: &str| {
            response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let status = response.status().as_u16();
        let (outcome, retry_after) = (header("clementine-outcome"), header("retry-after"));
        let body = response.body().limit(64 * 1024 * 1024).await.ok()?;
        Some(ApiResponse { status, outcome: outcome.unwrap_or_default(), retry_after, body })
    }

    /// Sends an order, an operation that runs at most once per idempotency key.
    pub async fn order(&self, key: &str, body: &str) -> Option<ApiResponse> {
        self.send("POST", "/orders/cut", &[("idempotency-key", key)], body).await
    }

    /// Sends a stock lookup, a read that may be retried.
    pub async fn lookup(&self) -> Option<ApiResponse> {
        self.send("GET", "/stock/blank-7", &[], "").await
    }

    /// Requests a non-streaming chat completion.
    pub async fn chat(&self, model: &str, prompt: &str, tokens: u32) -> Option<ApiResponse> {
        let body = chat_body(model, prompt, tokens, false);
        self.send("POST", "/v1/chat/completions", &[], &body).await
    }

    /// Requests a streaming chat completion and calls `on_token` after each token with
    /// the number of tokens so far. `None` if the response has a status other than 200
    /// or the request fails before the response starts.
    pub async fn stream_chat(
        &self,
        model: &str,
        prompt: &str,
        tokens: u32,
        mut on_token: impl FnMut(usize),
    ) -> Option<StreamedResponse> {
        let request = self.request("POST", "/v1/chat/completions", &[]);
        let body = chat_body(model, prompt, tokens, true);
        let mut response = request.send_body(body).await.ok()?;
        if response.status() != 200 {
            return None;
        }
        let mut streamed = StreamedResponse::default();
        let mut pending = String::new();
        while let Some(Ok(bytes)) = response.next().await {
            pending.push_str(&String::from_utf8_lossy(&bytes));
            while let Some((event, rest)) = pending.split_once("\n\n") {
                let before = streamed.tokens;
                streamed.handle_event(event);
                if streamed.tokens > before {
                    on_token(streamed.tokens);
                }
                pending = rest.to_owned();
            }
        }
        Some(streamed)
    }

    fn request(&self, method: &str, path: &str, headers: &[(&str, &str)]) -> ClientRequest {
        let method = method.parse().expect("invalid HTTP method");
        let mut request = self
            .http
            .request(method, format!("http://{}{path}", self.entry))
            .bearer_auth(&self.token);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        request
    }
}

fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": model, "stream": stream, "max_tokens": tokens, "messages": messages })
        .to_string()
}
