//! Error responses to callers.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use clementine_decide::ids::RequestId;
use clementine_decide::outcome::ErrorKind;
use clementine_objects::Millis;
use serde::Serialize;

use super::response::{OUTCOME_HEADER, REQUEST_ID_HEADER};

/// Error with which a request of a caller failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestError {
    /// Kind, which determines the HTTP status and the error code.
    pub(crate) kind: ErrorKind,
    /// Human-readable message.
    pub(crate) message: String,
    /// Delay after which the caller should retry, if a retry can succeed.
    pub(crate) retry_after: Option<Millis>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    param: Option<&'a str>,
}

impl RequestError {
    /// Creates an error with the default retry delay of its kind.
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after: kind.response().retry_after }
    }

    /// Replaces the retry delay if a more accurate one is known.
    pub(crate) fn with_retry_after(self, retry_after: Option<Millis>) -> Self {
        Self { retry_after: retry_after.or(self.retry_after), ..self }
    }

    /// Encodes the error as JSON in the OpenAI-compatible format.
    ///
    /// # Panics
    ///
    /// Never panics: the error contains only strings, which always serialize.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        let error_response = self.kind.response();
        let error = ErrorDetail {
            message: &self.message,
            r#type: error_response.error_type,
            code: self.kind.code(),
            param: None,
        };
        serde_json::to_vec(&ErrorBody { error }).expect("strings serialize to JSON")
    }

    /// Creates the HTTP response.
    pub(crate) fn response(&self, id: RequestId) -> Response<BoxBody> {
        let error_response = self.kind.response();
        let status = StatusCode::from_u16(error_response.status).unwrap_or_default();
        let mut response = Response::build(status);
        response.insert_header(("content-type", "application/json"));
        response.insert_header((REQUEST_ID_HEADER, id.to_string()));
        response.insert_header((OUTCOME_HEADER, error_response.outcome.to_string()));
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.0.div_ceil(1_000).max(1);
            response.insert_header(("retry-after", seconds.to_string()));
        }
        response.body(self.to_json()).map_into_boxed_body()
    }
}
