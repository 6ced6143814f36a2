//! A caller of the system.

use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures::StreamExt;
use serde_json::{Value, json};

/// Longest time of one request.
const REQUEST_TIME: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// The `clementine-outcome` header.
    pub outcome: String,
    /// The `retry-after` header.
    pub retry_after: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl ApiResponse {
    /// The body as JSON, null when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Code of the JSON error, empty when there is none.
    pub fn error_code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Text of a whole chat answer.
    pub fn chat_text(&self) -> String {
        let json = self.json();
        json["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// A streamed answer as far as it came.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StreamedResponse {
    /// Text of all tokens.
    pub text: String,
    /// Number of tokens.
    pub tokens: usize,
    /// Whether the stream ended with `[DONE]`.
    pub done: bool,
    /// An error told within the stream.
    pub error: Option<Value>,
}

impl StreamedResponse {
    fn take(&mut self, event: &str) {
        let data = event.trim().trim_start_matches("data: ");
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else { return };
        if !event["error"].is_null() {
            self.error = Some(event["error"].clone());
        }
        let piece = event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        if !piece.is_empty() {
            self.text.push_str(piece);
            self.tokens += 1;
        }
    }
}

/// A caller at one entry.
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
    /// A caller with a bearer token.
    pub fn new(entry: SocketAddr, token: &str) -> Self {
        let http = Client::builder().timeout(REQUEST_TIME).finish();
        Self { http, entry, token: token.to_owned() }
    }

    /// Sends a request and reads the whole answer; `None` when the connection
    /// broke.
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

    /// Sends a cut order with an idempotency key.
    pub async fn order(&self, key: &str, body: &str) -> Option<ApiResponse> {
        self.send("POST", "/orders/cut", &[("idempotency-key", key)], body).await
    }

    /// Looks stock up.
    pub async fn lookup(&self) -> Option<ApiResponse> {
        self.send("GET", "/stock/blank-7", &[], "").await
    }

    /// Asks for a whole chat answer.
    pub async fn chat(&self, model: &str, prompt: &str, tokens: u32) -> Option<ApiResponse> {
        let body = chat_body(model, prompt, tokens, false);
        self.send("POST", "/v1/chat/completions", &[], &body).await
    }

    /// Asks for a streamed chat answer; `on_token` is called after each token
    /// with their number. `None` when no stream began.
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
        let mut answer = StreamedResponse::default();
        let mut pending = String::new();
        while let Some(Ok(bytes)) = response.next().await {
            pending.push_str(&String::from_utf8_lossy(&bytes));
            while let Some((event, rest)) = pending.split_once("\n\n") {
                let before = answer.tokens;
                answer.take(event);
                if answer.tokens > before {
                    on_token(answer.tokens);
                }
                pending = rest.to_owned();
            }
        }
        Some(answer)
    }

    fn request(&self, method: &str, path: &str, headers: &[(&str, &str)]) -> ClientRequest {
        let method = method.parse().expect("an HTTP method");
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
