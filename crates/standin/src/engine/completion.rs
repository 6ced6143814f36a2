//! OpenAI-compatible completion requests and responses.

use serde_json::{Value, json};

use super::tokens::{count_tokens, prompt_digest, token};

/// Number of tokens to generate if the request does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// A completion endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Chat,
    Text,
}

/// A parsed completion request.
#[derive(Debug, Clone)]
pub(crate) struct Completion {
    pub(crate) endpoint: Endpoint,
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) stream: bool,
    /// Index of the first token to generate; above 0 if a partial response is
    /// continued.
    pub(crate) first: u32,
    /// Index after the last token to generate.
    pub(crate) end: u32,
}

impl Completion {
    /// Parses a request. Returns an error message if it is invalid.
    pub(crate) fn parse(endpoint: Endpoint, id: &str, body: &Value) -> Result<Self, &'static str> {
        let (prompt, partial) = match endpoint {
            Endpoint::Chat => chat_prompt(body)?,
            Endpoint::Text => {
                split_continuation(body["prompt"].as_str().ok_or("`prompt` must be a text")?)
            }
        };
        let first = count_tokens(&partial);
        let max_tokens = body["max_tokens"].as_u64().map(|n| n as u32);
        Ok(Self {
            endpoint,
            id: format!("chatcmpl-{id}"),
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            prompt,
            stream: body["stream"].as_bool().unwrap_or(false),
            first,
            end: max_tokens.map_or(DEFAULT_MAX_TOKENS.max(first), |n| first + n),
        })
    }

    /// Returns the token at `index`.
    pub(crate) fn token(&self, index: u32) -> String {
        token(prompt_digest(&self.prompt), index)
    }

    /// Returns the event that carries a token, or the final event if `token` is
    /// `None`.
    pub(crate) fn event(&self, token: Option<&str>) -> String {
        let finish = if token.is_some() { Value::Null } else { "length".into() };
        let choice = match self.endpoint {
            Endpoint::Chat => {
                let delta = token.map_or(json!({}), |text| json!({ "content": text }));
                json!({ "index": 0, "delta": delta, "finish_reason": finish })
            }
            Endpoint::Text => {
                json!({ "index": 0, "text": token.unwrap_or_default(), "finish_reason": finish })
            }
        };
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        };
        let event = json!({
            "id": self.id, "object": object, "created": 0, "model": self.model, "choices": [choice],
        });
        format!("data: {event}\n\n")
    }

    /// Returns the body of a response that is not streamed.
    pub(crate) fn full_response(&self) -> Value {
        let text: String = (self.first..self.end).map(|index| self.token(index)).collect();
        let (object, choice) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                json!({
                    "index": 0, "finish_reason": "length",
                    "message": { "role": "assistant", "content": text },
                }),
            ),
            Endpoint::Text => {
                ("text_completion", json!({ "index": 0, "finish_reason": "length", "text": text }))
            }
        };
        json!({
            "id": self.id, "object": object, "created": 0, "model": self.model, "choices": [choice],
            "usage": { "completion_tokens": self.end - self.first },
        })
    }
}

/// Splits a text prompt into the original prompt and the part of its response
/// that is appended to it. The second part is empty if the prompt does not end
/// with the tokens generated for its beginning.
fn split_continuation(prompt: &str) -> (String, String) {
    let ends = prompt.char_indices().map(|(end, _)| prompt.split_at(end));
    let generated = |start: &str, rest: &str| {
        let digest = prompt_digest(start);
        let text: String = (0..count_tokens(rest)).map(|index| token(digest, index)).collect();
        text == rest
    };
    let split = ends.skip(1).find(|(start, rest)| generated(start, rest));
    split.map_or((prompt.to_owned(), String::new()), |(start, rest)| (start.into(), rest.into()))
}

/// Returns the last user message, and the partial response to continue or an
/// empty text.
fn chat_prompt(body: &Value) -> Result<(String, String), &'static str> {
    let messages = body["messages"].as_array().ok_or("`messages` must be a list")?;
    let content = |m: &Value| m["content"].as_str().unwrap_or_default().to_owned();
    let user = messages.iter().rfind(|m| m["role"] == "user").ok_or("no user message")?;
    let last = messages.last().ok_or("no message")?;
    let continued = body["continue_final_message"] == true && last["role"] == "assistant";
    Ok((content(user), if continued { content(last) } else { String::new() }))
}
