//! Responses of backend servers, forwarded to callers.

use std::convert::Infallible;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, ResponseBuilder, StatusCode};
use bytes::Bytes;
use clementine_decide::ids::RequestId;
use clementine_decide::outcome::Outcome;
use clementine_wire::HttpResponseHead;
use futures::Stream;

/// Response header with the request's id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Response header that reports whether the request was executed.
pub(crate) const OUTCOME_HEADER: &str = "clementine-outcome";

/// Creates a response with a complete body.
pub(crate) fn full_response(
    id: RequestId,
    head: &HttpResponseHead,
    body: Bytes,
) -> Response<BoxBody> {
    builder(id, head).body(body).map_into_boxed_body()
}

/// Creates a response whose body is streamed.
pub(crate) fn stream_response(
    id: RequestId,
    head: &HttpResponseHead,
    body: impl Stream<Item = Bytes> + 'static,
) -> Response<BoxBody> {
    use futures::StreamExt;
    let body = body.map(Ok::<_, Infallible>);
    builder(id, head).body(BodyStream::new(Box::pin(body))).map_into_boxed_body()
}

fn builder(id: RequestId, head: &HttpResponseHead) -> ResponseBuilder {
    let mut response = Response::build(StatusCode::from_u16(head.status).unwrap_or_default());
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.append_header((name, value));
        }
    }
    response.insert_header((REQUEST_ID_HEADER, id.to_string()));
    response.insert_header((OUTCOME_HEADER, Outcome::Ran.to_string()));
    response
}
