//! A single HTTP call to the backend server.
//!
//! Non-repeatable requests use a new connection each: the server may close an
//! idle connection while a request is being written to it, which would leave the
//! outcome unknown. Connections are driven by the client codec of `actix-http`,
//! because `awc` does not distinguish a truncated chunked body from a complete
//! one.

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HOST, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, Uri};
use bytes::Bytes;
use clementine_decide::events::EventSplitter;
use clementine_objects::Repeat;
use clementine_wire::{HttpResponseHead, RunRequest, WorkOutcome};
use futures::{SinkExt, StreamExt};

use super::idle::{BackendConnection, IdleConnections};
use super::{BackendAddress, headers};
use crate::responses::ResponseBuffer;

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// Nothing was sent to the backend server; the request was not executed.
    NotSent,
    /// The request was sent, with this outcome.
    Sent(WorkOutcome),
}

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    /// The response has no body.
    NoBody,
    /// By `Content-Length` or the last chunk.
    Delimited,
    /// By the server closing the connection.
    CloseDelimited,
}

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
    let pooled = if reusable { idle.take() } else { None };
    let connection = match pooled {
        Some(connection) => connection,
        None => match backend.connect().await {
            Some(stream) => Framed::new(stream, ClientCodec::default()),
            None => return CallOutcome::NotSent,
        },
    };
    match round_trip(connection, head, request.body.clone(), buffer).await {
        Some((outcome, connection)) => {
            if let Some(connection) = connection.filter(|_| reusable) {
                idle.put(connection);
            }
            CallOutcome::Sent(outcome)
        }
        None => CallOutcome::Sent(WorkOutcome::BackendLost(None)),
    }
}

/// Writes the request and reads the response. Returns the connection as well if
/// it can be reused, and `None` if the connection failed or the body was
/// truncated.
async fn round_trip(
    mut framed: BackendConnection,
    head: RequestHead,
    body: Bytes,
    buffer: &ResponseBuffer,
) -> Option<(WorkOutcome, Option<BackendConnection>)> {
    let size = if body.is_empty() { BodySize::None } else { BodySize::Sized(body.len() as u64) };
    framed.feed(Message::Item((RequestHeadType::Owned(head), size))).await.ok()?;
    if !body.is_empty() {
        framed.feed(Message::Chunk(Some(body))).await.ok()?;
        framed.feed(Message::Chunk(None)).await.ok()?;
    }
    SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(&mut framed).await.ok()?;
    let response_head = framed.next().await?.ok()?;
    let body_framing = body_framing(&response_head, framed.codec_ref().message_type());
    let mut body = BodyWriter::new(&response_head, buffer);
    buffer.set_head(HttpResponseHead {
        status: response_head.status.as_u16(),
        headers: headers::forwarded(&response_head.headers),
    });
    if body_framing == BodyFraming::NoBody {
        let reusable = framed.codec_ref().keep_alive();
        return Some((WorkOutcome::Complete, reusable.then_some(framed)));
    }
    let mut framed = framed.into_map_codec(ClientCodec::into_payload_codec);
    loop {
        match framed.next().await {
            Some(Ok(Some(bytes))) => {
                if !body.write(bytes).await {
                    return Some((WorkOutcome::TooLarge, None));
                }
            }
            Some(Ok(None)) => break,
            None if body_framing == BodyFraming::CloseDelimited => break,
            Some(Err(_)) | None => return None,
        }
    }
    body.finish().await;
    let reusable = body_framing == BodyFraming::Delimited && framed.codec_ref().keep_alive();
    let framed = framed.into_map_codec(ClientPayloadCodec::into_message_codec);
    Some((WorkOutcome::Complete, reusable.then_some(framed)))
}

fn body_framing(response_head: &ResponseHead, message: MessageType) -> BodyFraming {
    let delimited = response_head.headers.contains_key("content-length")
        || response_head.headers.contains_key("transfer-encoding");
    match message {
        MessageType::None => BodyFraming::NoBody,
        MessageType::Payload | MessageType::Stream if delimited => BodyFraming::Delimited,
        MessageType::Payload | MessageType::Stream => BodyFraming::CloseDelimited,
    }
}

/// Writes a response body to the buffer: an event stream one event per chunk, any
/// other body in the parts received.
struct BodyWriter<'a> {
    events: Option<EventSplitter>,
    buffer: &'a ResponseBuffer,
}

impl<'a> BodyWriter<'a> {
    fn new(response_head: &ResponseHead, buffer: &'a ResponseBuffer) -> Self {
        let content_type = response_head.headers.get("content-type").and_then(|v| v.to_str().ok());
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

    async fn finish(self) {
        if let Some(remainder) = self.events.and_then(EventSplitter::into_remainder) {
            self.buffer.push(remainder).await;
        }
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
    head.headers.insert(HeaderName::from_static("x-request-id"), id);
    Some(head)
}
