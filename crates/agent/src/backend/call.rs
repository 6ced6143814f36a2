//! One call to the backend server.
//!
//! A call that may not be repeated has a connection of its own: a kept one may
//! be closed by the server while a request is written to it, which would leave
//! the outcome unknown. The connection is driven by the client codec of `actix-http`
//! itself, because `awc` does not tell a chunked body that broke off from one
//! that ended.

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HOST, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, Uri};
use bytes::Bytes;
use clementine_objects::Repeat;
use clementine_wire::{HttpResponseHead, RunRequest, WorkOutcome};
use futures::{SinkExt, StreamExt};

use super::events::EventSplitter;
use super::idle::{BackendConnection, IdleConnections};
use super::{BackendAddress, headers};
use crate::answers::AnswerBuffer;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// Nothing was sent to the backend server.
    NeverSent,
    /// The request was sent, and its answer ended like this.
    Sent(WorkOutcome),
}

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    /// There is no body.
    NoBody,
    /// By its length or its last chunk.
    Marked,
    /// By the end of the connection.
    ConnectionClose,
}

/// Sends a request to the backend server and writes the answer to a buffer,
/// all but its end.
pub(crate) async fn call_backend(
    backend: BackendAddress,
    idle: &IdleConnections,
    order: &RunRequest,
    answer: &AnswerBuffer,
) -> CallEnd {
    let Some(head) = request_head(backend, order) else { return CallEnd::NeverSent };
    let reusable = order.repeat == Repeat::Safe;
    let kept = if reusable { idle.take() } else { None };
    let connection = match kept {
        Some(connection) => connection,
        None => match backend.connect().await {
            Some(stream) => Framed::new(stream, ClientCodec::default()),
            None => return CallEnd::NeverSent,
        },
    };
    match exchange(connection, head, order.body.clone(), answer).await {
        Some((end, connection)) => {
            if let Some(connection) = connection.filter(|_| reusable) {
                idle.keep(connection);
            }
            CallEnd::Sent(end)
        }
        None => CallEnd::Sent(WorkOutcome::BackendLost),
    }
}

/// Writes the request and reads the answer; `None` when the connection broke.
/// The connection is returned where it can be used again.
async fn exchange(
    mut framed: BackendConnection,
    head: RequestHead,
    body: Bytes,
    answer: &AnswerBuffer,
) -> Option<(WorkOutcome, Option<BackendConnection>)> {
    let size = if body.is_empty() { BodySize::None } else { BodySize::Sized(body.len() as u64) };
    framed.feed(Message::Item((RequestHeadType::Owned(head), size))).await.ok()?;
    if !body.is_empty() {
        framed.feed(Message::Chunk(Some(body))).await.ok()?;
        framed.feed(Message::Chunk(None)).await.ok()?;
    }
    SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(&mut framed).await.ok()?;
    let response = framed.next().await?.ok()?;
    let body_end = body_end(&response, framed.codec_ref().message_type());
    let mut body = BodyWriter::new(&response, answer);
    answer.set_head(HttpResponseHead {
        status: response.status.as_u16(),
        headers: headers::passed_on(&response.headers),
    });
    if body_end == BodyEnd::NoBody {
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
            None if body_end == BodyEnd::ConnectionClose => break,
            Some(Err(_)) | None => return None,
        }
    }
    body.finish().await;
    let reusable = body_end == BodyEnd::Marked && framed.codec_ref().keep_alive();
    let framed = framed.into_map_codec(ClientPayloadCodec::into_message_codec);
    Some((WorkOutcome::Complete, reusable.then_some(framed)))
}

fn body_end(response: &ResponseHead, message: MessageType) -> BodyEnd {
    let marked = response.headers.contains_key("content-length")
        || response.headers.contains_key("transfer-encoding");
    match message {
        MessageType::None => BodyEnd::NoBody,
        MessageType::Payload | MessageType::Stream if marked => BodyEnd::Marked,
        MessageType::Payload | MessageType::Stream => BodyEnd::ConnectionClose,
    }
}

/// Writes a body to the buffer: a stream event by event, any other as it
/// comes.
struct BodyWriter<'a> {
    events: Option<EventSplitter>,
    answer: &'a AnswerBuffer,
}

impl<'a> BodyWriter<'a> {
    fn new(response: &ResponseHead, answer: &'a AnswerBuffer) -> Self {
        let content_type = response.headers.get("content-type").and_then(|v| v.to_str().ok());
        let streamed = content_type.is_some_and(|value| value.starts_with("text/event-stream"));
        Self { events: streamed.then(EventSplitter::default), answer }
    }

    /// Says whether there was room.
    async fn write(&mut self, bytes: Bytes) -> bool {
        let Some(events) = &mut self.events else {
            return self.answer.push(bytes).await;
        };
        events.push(&bytes);
        while let Some(event) = events.next_event() {
            if !self.answer.push(event).await {
                return false;
            }
        }
        true
    }

    async fn finish(self) {
        if let Some(rest) = self.events.and_then(EventSplitter::rest) {
            self.answer.push(rest).await;
        }
    }
}

/// `None` when a part has no HTTP form, which the entry has checked.
fn request_head(backend: BackendAddress, order: &RunRequest) -> Option<RequestHead> {
    let mut head = RequestHead::default();
    head.method = order.method.parse::<Method>().ok()?;
    head.uri = order.path.parse::<Uri>().ok()?;
    for header in &order.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        head.headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    head.headers.insert(HOST, HeaderValue::from_str(&backend.host()).ok()?);
    let id = HeaderValue::from_str(&order.request.to_string()).ok()?;
    head.headers.insert(HeaderName::from_static("x-request-id"), id);
    Some(head)
}
