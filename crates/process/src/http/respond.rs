//! Small responses.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use serde::Serialize;

/// A response with a JSON body.
///
/// # Panics
///
/// When the value has no JSON form, which only hand-written serializers can
/// cause.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("the value has a JSON form");
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}

/// A response with a text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header(("content-type", "text/plain; charset=utf-8"));
    response.body(text.into()).map_into_boxed_body()
}
