//! OpenAI-compatible completion requests to split models.

use bytes::Bytes;
use clementine_wire::{Header, HttpResponseHead, RunRequest};
use serde_json::{Value, json};

/// Number of tokens to generate if the request does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// A parsed completion request to a split model.
#[derive(Debug, Clone)]
pub(super) struct SplitCompletion {
    id: String,
    model: String,
    chat: bool,
    /// Whether the response is streamed.
    pub(super) stream: bool,
    /// Prompt, the input of step 0.
    pub(super) prompt: String,
    /// Number of tokens to generate.
    pub(super) max_tokens: u32,
}

impl SplitCompletion {
    /// Parses a request that the entry has validated.
    pub(super) fn parse(request: &RunRequest) -> Option<Self> {
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let chat = request.path.ends_with("/chat/completions");
        let prompt = if chat { chat_prompt(&body)? } else { body["prompt"].as_str()?.to_owned() };
        let max_tokens = body["max_tokens"].as_u64();
        Some(Self {
            id: format!("chatcmpl-{}", request.request),
            model: body["model"].as_str()?.to_owned(),
            chat,
            stream: body["stream"].as_bool().unwrap_or(false),
            prompt,
            max_tokens: max_tokens.map_or(DEFAULT_MAX_TOKENS, |n| n as u32),
        })
    }

    /// Returns the status and headers of the response.
    pub(super) fn response_head(&self) -> HttpResponseHead {
        let value = if self.stream { "text/event-stream" } else { "application/json" };
        let content_type =
            Header { name: "content-type".into(), value: Bytes::from_static(value.as_bytes()) };
        HttpResponseHead { status: 200, headers: vec![content_type] }
    }

    /// Returns the event that carries a token.
    pub(super) fn token_event(&self, token: &str) -> Bytes {
        let content = if self.chat { json!({ "content": token }) } else { token.into() };
        self.event(&content, &Value::Null)
    }

    /// Returns the events that end the stream.
    pub(super) fn end_events(&self) -> Bytes {
        let empty = if self.chat { json!({}) } else { "".into() };
        let last = self.event(&empty, &"length".into());
        [&last[..], b"data: [DONE]\n\n"].concat().into()
    }

    /// Returns the body of a response that is not streamed.
    pub(super) fn full_response(&self, text: &str) -> Bytes {
        let choice = if self.chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "finish_reason": "length", "message": message })
        } else {
            json!({ "index": 0, "finish_reason": "length", "text": text })
        };
        let response = json!({
            "id": self.id,
            "object": if self.chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": { "completion_tokens": self.max_tokens },
        });
        response.to_string().into_bytes().into()
    }

    fn event(&self, content: &Value, finish: &Value) -> Bytes {
        let field = if self.chat { "delta" } else { "text" };
        let event = json!({
            "id": self.id,
            "object": if self.chat { "chat.completion.chunk" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [{ "index": 0, field: content, "finish_reason": finish }],
        });
        format!("data: {event}\n\n").into_bytes().into()
    }
}

/// Returns the content of the last user message.
fn chat_prompt(body: &Value) -> Option<String> {
    let messages = body["messages"].as_array()?;
    let user = messages.iter().rfind(|message| message["role"] == "user")?;
    user["content"].as_str().map(str::to_owned)
}
