//! Callers' HTTP.

mod answer;
mod authorize;
mod models;
mod refusal;
mod request;
mod router;

pub(crate) use answer::{answer_response, stream_response};
pub(crate) use refusal::Refusal;
pub(crate) use request::CallerRequest;
