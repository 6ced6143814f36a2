//! What the entry reads of a completion request.

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

/// What the entry reads of a completion request. All else is passed on.
#[derive(Debug, Deserialize)]
pub(super) struct Completion<'a> {
    /// The model.
    pub(super) model: ModelName,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

impl<'a> Completion<'a> {
    /// Reads and checks a request body.
    pub(super) fn parse(
        body: &'a [u8],
        endpoint: Endpoint,
        prompt_limit: usize,
    ) -> Result<Self, RequestError> {
        let parsed: Self = serde_json::from_slice(body).map_err(|error| {
            RequestError::new(ErrorKind::InvalidRequest, format!("the body can't be read: {error}"))
        })?;
        let (field, prompt) = match endpoint {
            Endpoint::Chat => ("messages", parsed.messages),
            Endpoint::Text => ("prompt", parsed.prompt),
        };
        let Some(prompt) = prompt else {
            return Err(RequestError::new(
                ErrorKind::InvalidRequest,
                format!("`{field}` is missing"),
            ));
        };
        if prompt.get().len() > prompt_limit {
            let message = format!("the prompt is larger than {prompt_limit} bytes");
            return Err(RequestError::new(ErrorKind::TooLarge, message));
        }
        Ok(parsed)
    }
}
