//! Sending of requests and measurement of their responses.

use std::time::{Duration, Instant};

use awc::{Client, Connector};
use futures::StreamExt;
use serde_json::json;

/// Timeout of a request, from sending to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

/// A request to send.
#[derive(Debug, Clone)]
pub(crate) struct LoadRequest {
    /// HTTP method.
    pub(crate) method: &'static str,
    /// URL path.
    pub(crate) path: String,
    /// Value of the `idempotency-key` header, if it is to be sent.
    pub(crate) idempotency_key: Option<String>,
    /// Request body.
    pub(crate) body: String,
}

impl LoadRequest {
    /// Builds a chat completion request.
    pub(crate) fn chat(model: &str, prompt: &str, tokens: u32, stream: bool) -> Self {
        let messages = json!([{ "role": "user", "content": prompt }]);
        let body =
            json!({ "model": model, "stream": stream, "max_tokens": tokens, "messages": messages });
        Self {
            method: "POST",
            path: "/v1/chat/completions".to_owned(),
            idempotency_key: None,
            body: body.to_string(),
        }
    }
}

/// Measurement of one request and its response.
#[derive(Debug, Clone, Default)]
pub(crate) struct Measurement {
    /// HTTP status code; 0 if there was no response.
    pub(crate) status: u16,
    /// Value of the `clementine-outcome` response header.
    pub(crate) outcome: String,
    /// Time from sending to the first bytes of the response body.
    pub(crate) time_to_first_byte: Duration,
    /// Time from sending to the end of the response.
    pub(crate) total_time: Duration,
    /// Times between successive chunks of a streamed response.
    pub(crate) gaps: Vec<Duration>,
    /// Tokens received.
    pub(crate) tokens: u64,
    /// Whether a streamed response ended with `[DONE]`. Other responses are
    /// complete once they have a body.
    pub(crate) complete: bool,
}

/// HTTP client that measures responses.
#[derive(Clone)]
pub(crate) struct LoadClient {
    client: Client,
    base_url: String,
    token: String,
}

impl LoadClient {
    /// Creates a client that sends requests to a base URL with a bearer token.
    pub(crate) fn new(base_url: &str, token: &str) -> Self {
        let connector = Connector::new().limit(65_536);
        let client = Client::builder().connector(connector).timeout(REQUEST_TIMEOUT).finish();
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            token: token.to_owned(),
        }
    }

    /// Sends a request and measures its response.
    pub(crate) async fn send(&self, request: &LoadRequest) -> Measurement {
        let started = Instant::now();
        let method = request.method.parse().unwrap_or_default();
        let mut http_request = self
            .client
            .request(method, format!("{}{}", self.base_url, request.path))
            .bearer_auth(&self.token);
        if let Some(key) = &request.idempotency_key {
            http_request = http_request.insert_header(("idempotency-key", key.as_str()));
        }
        let Ok(mut response) = http_request.send_body(request.body.clone()).await else {
            return Measurement { total_time: started.elapsed(), ..Measurement::default() };
        };
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let mut measurement = Measurement {
            status: response.status().as_u16(),
            outcome: header("clementine-outcome"),
            ..Measurement::default()
        };
        let streamed = header("content-type").starts_with("text/event-stream");
        let mut last = None;
        while let Some(Ok(bytes)) = response.next().await {
            let now = Instant::now();
            match last.replace(now) {
                None => measurement.time_to_first_byte = now - started,
                Some(before) if streamed => measurement.gaps.push(now - before),
                Some(_) => {}
            }
            measurement.tokens += bytes.windows(9).filter(|w| *w == b"\"content\"").count() as u64;
            measurement.complete = !streamed || bytes.ends_with(b"data: [DONE]\n\n");
        }
        measurement.total_time = started.elapsed();
        measurement
    }
}
