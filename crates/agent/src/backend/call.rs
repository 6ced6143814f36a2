//! A single HTTP call to the backend server.
//!
//! Non-repeatable requests use a new connection each: the server may close an
//! idle connection while a request is being written to it, which would leave the
//! outcome unknown. `awc` is not used, because it does not distinguish a truncated
//! chunked body from a complete one.

use actix_http::header::{HOST, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead, Uri};
use bytes::Bytes;
use clementine_decide::events::EventSplitter;
use clementine_http1::ClientConn;
use clementine_objects::Repeat;
use clementine_wire::{HttpResponseHead, RunRequest, WorkOutcome};

use super::idle::IdleConnections;
use super::{BackendAddress, headers};
use crate::responses::ResponseBuffer;

/// Last event of a streamed completion, without its line ends.
const END_EVENT: &[u8] = b"data: [DONE]";

/// Maximum number of late copies of earlier responses that are skipped on a connection
/// that was used before. The response to the request follows them, so it needn't be
/// sent again.
const MAX_LATE_COPIES: u32 = 2;

/// Maximum size of the body of a late copy, in bytes.
const MAX_LATE_COPY_BYTES: usize = 4 * 1024 * 1024;

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// Nothing was sent to the backend server; the request was not executed.
    NotSent,
    /// The request was sent, with this outcome.
    Sent(WorkOutcome),
}

/// Header with the id of the request, which a server may repeat in its response.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Sends a request to the backend server and writes the response to `buffer`. The
/// caller records the outcome in the buffer.
pub(crate) async fn call_backend(
    backend: BackendAddress,
    idle: &IdleConnections,
    request: &RunRequest,
    buffer: &ResponseBuffer,
) -> CallOutcome {
    let Some(head) = request_head(backend, request) else { return CallOutcome::NotSent };
    let reusable = request.repeat == Repeat::Safe;
    if let Some(mut conn) = reusable.then(|| idle.take()).flatten() {
        let outcome = round_trip(&mut conn, head.clone(), request, buffer, MAX_LATE_COPIES).await;
        if conn.has_begun_request() {
            idle.put(conn);
            return CallOutcome::Sent(outcome.unwrap_or(WorkOutcome::BackendLost(None)));
        }
    }
    let Some(mut conn) = backend.connect(idle.config()).await else { return CallOutcome::NotSent };
    let outcome = round_trip(&mut conn, head, request, buffer, 0).await;
    if reusable {
        idle.put(conn);
    }
    CallOutcome::Sent(outcome.unwrap_or(WorkOutcome::BackendLost(None)))
}

/// Sends the request and reads the response. Returns `None` if the connection failed,
/// the body or its last event was truncated, or the response names another request. Up
/// to `late_copies` responses that do are skipped before.
async fn round_trip(
    conn: &mut ClientConn,
    head: RequestHead,
    request: &RunRequest,
    buffer: &ResponseBuffer,
    late_copies: u32,
) -> Option<WorkOutcome> {
    conn.queue(head, request.body.clone()).ok()?;
    let mut response_head = conn.read_head().await.ok()?;
    for _ in 0..late_copies {
        if is_response_to(&response_head, request) {
            break;
        }
        conn.read_body(MAX_LATE_COPY_BYTES).await.ok()?;
        response_head = conn.read_head().await.ok()?;
    }
    if !is_response_to(&response_head, request) {
        return None;
    }
    let mut body = BodyWriter::new(&response_head, buffer);
    buffer.set_head(HttpResponseHead {
        status: response_head.status.as_u16(),
        headers: headers::forwarded(response_head.headers()),
    });
    while let Some(bytes) = conn.read_chunk().await.ok()? {
        if !body.write(bytes).await {
            return Some(WorkOutcome::TooLarge);
        }
    }
    body.finish().await.then_some(WorkOutcome::Complete)
}

/// Whether a response may belong to a request. One that names another request is a
/// late copy on a connection that was used before.
fn is_response_to(head: &ResponseHead, request: &RunRequest) -> bool {
    let named = head.headers().get(REQUEST_ID);
    named.is_none_or(|id| id.as_bytes() == request.request.to_string().as_bytes())
}

/// Writes a response body to the buffer: an event stream one event per chunk, any
/// other body in the parts received.
struct BodyWriter<'a> {
    events: Option<EventSplitter>,
    buffer: &'a ResponseBuffer,
}

impl<'a> BodyWriter<'a> {
    fn new(response_head: &ResponseHead, buffer: &'a ResponseBuffer) -> Self {
        let content_type =
            response_head.headers().get("content-type").and_then(|v| v.to_str().ok());
        let streamed = content_type.is_some_and(|value| value.starts_with("text/event-stream"));
        Self { events: streamed.then(EventSplitter::default), buffer }
    }

    /// Returns false if the buffer accepts no more data or an event has no end.
    async fn write(&mut self, bytes: Bytes) -> bool {
        let Some(events) = &mut self.events else {
            return self.buffer.push(bytes).await;
        };
        events.push(&bytes);
        loop {
            let event = match events.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => return true,
                Err(_) => return false,
            };
            if !self.buffer.push(event.bytes).await {
                return false;
            }
        }
    }

    /// Returns false if the body ended inside an event. The empty line after the last
    /// event of a completion may be missing.
    async fn finish(self) -> bool {
        let Some(remainder) = self.events.and_then(EventSplitter::into_remainder) else {
            return true;
        };
        let ends_stream = remainder.trim_ascii_end() == END_EVENT;
        if ends_stream {
            self.buffer.push(remainder).await;
        }
        ends_stream
    }
}

/// Builds the request head. Returns `None` if the method, path or a header is
/// invalid, which the entry has already ruled out.
fn request_head(backend: BackendAddress, request: &RunRequest) -> Option<RequestHead> {
    let mut head = RequestHead::default();
    head.method = request.method.parse::<Method>().ok()?;
    head.uri = request.path.parse::<Uri>().ok()?;
    for header in &request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        head.headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    head.headers.insert(HOST, HeaderValue::from_str(&backend.host()).ok()?);
    let id = HeaderValue::from_str(&request.request.to_string()).ok()?;
    head.headers.insert(REQUEST_ID, id);
    Some(head)
}
