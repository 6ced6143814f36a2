//! Continuation of a streamed response on another backend server.

use bytes::Bytes;
use serde_json::{Map, Value, json};

use super::Endpoint;

/// The events of a streamed response already delivered to the caller.
///
/// They are stored unparsed and parsed only if a backend server fails.
#[derive(Debug, Default)]
pub(super) struct DeliveredEvents {
    events: Vec<Bytes>,
    bytes: usize,
}

/// Text and token count of the delivered events. Each event with text counts as
/// one token.
#[derive(Debug, Default, PartialEq, Eq)]
struct DeliveredText {
    text: String,
    tokens: u32,
}

impl DeliveredEvents {
    /// Records an event that is forwarded to the caller.
    pub(super) fn push(&mut self, event: Bytes) {
        self.bytes += event.len();
        self.events.push(event);
    }

    /// Returns the total size of the recorded events, in bytes.
    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether no event was recorded.
    pub(super) const fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the number of tokens delivered.
    pub(super) fn tokens(&self, endpoint: Endpoint) -> u32 {
        self.text(endpoint).tokens
    }

    /// Builds the request body that continues the response after the delivered text,
    /// in the format of vLLM-compatible engines: `continue_final_message` for chats,
    /// a prompt extended by the delivered text for text completions. Returns `None`
    /// if the original body cannot be extended.
    pub(super) fn continuation(&self, body: &[u8], endpoint: Endpoint) -> Option<Bytes> {
        let mut request: Map<String, Value> = serde_json::from_slice(body).ok()?;
        let delivered = self.text(endpoint);
        match endpoint {
            Endpoint::Chat => {
                let messages = request.get_mut("messages")?.as_array_mut()?;
                messages.push(json!({ "role": "assistant", "content": delivered.text }));
                request.insert("continue_final_message".into(), true.into());
                request.insert("add_generation_prompt".into(), false.into());
            }
            Endpoint::Text => {
                let prompt = request.get("prompt")?.as_str()?.to_owned();
                request.insert("prompt".into(), (prompt + &delivered.text).into());
            }
        }
        for field in ["max_tokens", "max_completion_tokens"] {
            if let Some(limit) = request.get(field).and_then(Value::as_u64) {
                let left = limit.saturating_sub(u64::from(delivered.tokens));
                request.insert(field.into(), left.into());
            }
        }
        serde_json::to_vec(&request).ok().map(Bytes::from)
    }

    fn text(&self, endpoint: Endpoint) -> DeliveredText {
        let mut delivered = DeliveredText::default();
        for event in &self.events {
            let data = event.strip_prefix(b"data: ").unwrap_or_default();
            let Ok(event) = serde_json::from_slice::<Value>(data) else { continue };
            let choice = &event["choices"][0];
            let piece = match endpoint {
                Endpoint::Chat => choice["delta"]["content"].as_str(),
                Endpoint::Text => choice["text"].as_str(),
            };
            if let Some(piece) = piece.filter(|piece| !piece.is_empty()) {
                delivered.text.push_str(piece);
                delivered.tokens += 1;
            }
        }
        delivered
    }
}
