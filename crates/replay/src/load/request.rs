//! One request and its measured answer.

use std::time::{Duration, Instant};

use awc::{Client, Connector};
use futures::StreamExt;
use serde_json::json;

/// Longest time of one request.
const REQUEST_TIME: Duration = Duration::from_mins(1);

/// A request to send.
#[derive(Debug, Clone)]
pub(crate) struct LoadRequest {
    /// HTTP method.
    pub(crate) method: &'static str,
    /// Path.
    pub(crate) path: String,
    /// Idempotency key, if any.
    pub(crate) key: Option<String>,
    /// Body.
    pub(crate) body: String,
}

impl LoadRequest {
    /// A chat request.
    pub(crate) fn chat(model: &str, prompt: &str, tokens: u32, stream: bool) -> Self {
        let messages = json!([{ "role": "user", "content": prompt }]);
        let body =
            json!({ "model": model, "stream": stream, "max_tokens": tokens, "messages": messages });
        Self {
            method: "POST",
            path: "/v1/chat/completions".to_owned(),
            key: None,
            body: body.to_string(),
        }
    }
}

/// A measured answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Measured {
    /// HTTP status code; 0 when there was no answer.
    pub(crate) status: u16,
    /// The `clementine-outcome` header.
    pub(crate) outcome: String,
    /// Time to the first bytes of the body.
    pub(crate) first: Duration,
    /// Time to the last byte.
    pub(crate) whole: Duration,
    /// Times between tokens of a stream.
    pub(crate) gaps: Vec<Duration>,
    /// Tokens received.
    pub(crate) tokens: u64,
    /// Whether a stream ended with `[DONE]`, or a whole answer came.
    pub(crate) complete: bool,
}

/// Sends requests to one base URL.
#[derive(Clone)]
pub(crate) struct LoadClient {
    client: Client,
    base_url: String,
    token: String,
}

impl LoadClient {
    /// A client of a base URL.
    pub(crate) fn new(base_url: &str, token: &str) -> Self {
        let connector = Connector::new().limit(65_536);
        let client = Client::builder().connector(connector).timeout(REQUEST_TIME).finish();
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            token: token.to_owned(),
        }
    }

    /// Sends a request and measures its answer.
    pub(crate) async fn send(&self, request: &LoadRequest) -> Measured {
        let started = Instant::now();
        let method = request.method.parse().unwrap_or_default();
        let mut sent = self
            .client
            .request(method, format!("{}{}", self.base_url, request.path))
            .bearer_auth(&self.token);
        if let Some(key) = &request.key {
            sent = sent.insert_header(("idempotency-key", key.as_str()));
        }
        let Ok(mut response) = sent.send_body(request.body.clone()).await else {
            return Measured { whole: started.elapsed(), ..Measured::default() };
        };
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let mut measured = Measured {
            status: response.status().as_u16(),
            outcome: header("clementine-outcome"),
            ..Measured::default()
        };
        let streamed = header("content-type").starts_with("text/event-stream");
        let mut last = None;
        while let Some(Ok(bytes)) = response.next().await {
            let now = Instant::now();
            match last.replace(now) {
                None => measured.first = now - started,
                Some(before) if streamed => measured.gaps.push(now - before),
                Some(_) => {}
            }
            measured.tokens += bytes.windows(9).filter(|w| *w == b"\"content\"").count() as u64;
            measured.complete = !streamed || bytes.ends_with(b"data: [DONE]\n\n");
        }
        measured.whole = started.elapsed();
        measured
    }
}
