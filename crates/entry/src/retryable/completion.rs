//! Parsing of completion requests.

use clementine_decide::outcome::ErrorKind;
use clementine_objects::ModelName;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::callers::RequestError;

/// The two completion endpoints of the OpenAI-compatible format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// The fields of a completion request that the entry uses. Other fields are
/// forwarded without being interpreted.
#[derive(Debug, Deserialize)]
pub(super) struct Completion<'a> {
    /// Name of the model.
    pub(super) model: ModelName,
    /// Whether the response is streamed.
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

impl<'a> Completion<'a> {
    /// Parses and validates a request body.
    pub(super) fn parse(
        body: &'a [u8],
        endpoint: Endpoint,
        prompt_limit: usize,
    ) -> Result<Self, RequestError> {
        let parsed: Self = serde_json::from_slice(body).map_err(|error| {
            RequestError::new(ErrorKind::InvalidRequest, format!("invalid request body: {error}"))
        })?;
        let (field, prompt) = match endpoint {
            Endpoint::Chat => ("messages", parsed.messages),
            Endpoint::Text => ("prompt", parsed.prompt),
        };
        let Some(prompt) = prompt else {
            return Err(RequestError::new(
                ErrorKind::InvalidRequest,
                format!("missing field `{field}`"),
            ));
        };
        if prompt.get().len() > prompt_limit {
            let message = format!("the prompt exceeds {prompt_limit} bytes");
            return Err(RequestError::new(ErrorKind::TooLarge, message));
        }
        Ok(parsed)
    }
}
