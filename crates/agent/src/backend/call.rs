//! One call to the backend server.

use awc::ClientRequest;
use awc::http::header::{HeaderName, HeaderValue};
use awc::http::{Method, Uri};
use clementine_platform::http::was_never_sent;
use clementine_process::clock::Clock;
use clementine_wire::{AnswerEnd, AnswerHead, RunOrder};
use futures::StreamExt;

use super::events::EventSplitter;
use super::{BackendClient, headers};
use crate::answers::AnswerBuffer;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The backend server accepted no connection; nothing was sent.
    NeverSent,
    /// The request was sent, and its answer ended like this.
    Sent(AnswerEnd),
}

/// Sends a request to the backend server and writes the answer to a buffer,
/// all but its end.
pub(crate) async fn call_backend(
    client: &BackendClient,
    order: &RunOrder,
    answer: &AnswerBuffer,
    clock: &Clock,
) -> CallEnd {
    let Some(request) = build(client, order) else { return CallEnd::NeverSent };
    let mut response = match request.send_body(order.body.clone()).await {
        Ok(response) => response,
        Err(error) if was_never_sent(&error) => return CallEnd::NeverSent,
        Err(_) => return CallEnd::Sent(AnswerEnd::BackendLost),
    };
    let content_type = response.headers().get("content-type").and_then(|v| v.to_str().ok());
    let mut events = content_type
        .is_some_and(|value| value.starts_with("text/event-stream"))
        .then(EventSplitter::default);
    answer.set_head(AnswerHead {
        status: response.status().as_u16(),
        headers: headers::passed_on(response.headers()),
    });
    while let Some(bytes) = response.next().await {
        let Ok(bytes) = bytes else { return CallEnd::Sent(AnswerEnd::BackendLost) };
        let Some(splitter) = &mut events else {
            if !answer.push(bytes, clock.now()).await {
                return CallEnd::Sent(AnswerEnd::TooLarge);
            }
            continue;
        };
        splitter.push(&bytes);
        while let Some(event) = splitter.next_event() {
            if !answer.push(event, clock.now()).await {
                return CallEnd::Sent(AnswerEnd::TooLarge);
            }
        }
    }
    if let Some(rest) = events.and_then(EventSplitter::rest) {
        answer.push(rest, clock.now()).await;
    }
    CallEnd::Sent(AnswerEnd::Complete)
}

/// `None` when method or path have no HTTP form, which the entry has checked.
fn build(client: &BackendClient, order: &RunOrder) -> Option<ClientRequest> {
    let method: Method = order.method.parse().ok()?;
    let uri: Uri = client.url(&order.path).parse().ok()?;
    let mut request = client.for_requests(order.repeat).request(method, uri).no_decompress();
    for header in &order.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        request = request.append_header((name, value));
    }
    Some(request.insert_header(("x-request-id", order.request.to_string())))
}
