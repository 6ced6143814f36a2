//! HTTP API for callers.

mod authorize;
mod models;
mod request;
mod request_error;
mod response;
mod router;

pub(crate) use request::CallerRequest;
pub(crate) use request_error::RequestError;
pub(crate) use response::{full_response, stream_response};
