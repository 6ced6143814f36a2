//! JSON and text responses.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use serde::Serialize;

/// Builds a response with a JSON body.
///
/// # Panics
///
/// Panics if the value cannot be serialized to JSON. Derived `Serialize`
/// implementations do not fail; hand-written ones can.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("the value should serialize to JSON");
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}

/// Builds a response with a plain-text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header(("content-type", "text/plain; charset=utf-8"));
    response.body(text.into()).map_into_boxed_body()
}
