//! Answers to requests that are given up on.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use clementine_decide::ids::RequestId;
use clementine_decide::outcome::ErrorKind;
use clementine_objects::Millis;
use serde::Serialize;

use super::response::{OUTCOME_HEADER, REQUEST_ID_HEADER};

/// A request that is given up on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestError {
    /// Why.
    pub(crate) kind: ErrorKind,
    /// One sentence for people.
    pub(crate) message: String,
    /// When to ask again, where that helps.
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
    /// A refusal with the kind's own time to ask again.
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after: kind.response().retry_after }
    }

    /// The same refusal with another time to ask again, where one is known.
    pub(crate) fn with_retry_after(self, retry_after: Option<Millis>) -> Self {
        Self { retry_after: retry_after.or(self.retry_after), ..self }
    }

    /// The refusal as a JSON error in the OpenAI-compatible shape.
    ///
    /// # Panics
    ///
    /// Never: the error always has a JSON form.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        let error_response = self.kind.response();
        let error = ErrorDetail {
            message: &self.message,
            r#type: error_response.error_type,
            code: self.kind.code(),
            param: None,
        };
        serde_json::to_vec(&ErrorBody { error }).expect("an error has a JSON form")
    }

    /// The answer to the caller.
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
