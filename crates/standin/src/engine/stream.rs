//! Streamed responses.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures::stream;

use super::completion::Completion;

/// Builds a streamed response that waits for `token_time` before each token.
pub(crate) fn stream_response(completion: Completion, token_time: Duration) -> Response<BoxBody> {
    let completion = Rc::new(completion);
    let events = stream::unfold(completion.first, move |index| {
        let completion = Rc::clone(&completion);
        async move {
            let event = next_event(&completion, index, token_time).await?;
            Some((Ok::<_, Infallible>(event), index + 1))
        }
    });
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "text/event-stream"));
    response.body(BodyStream::new(Box::pin(events))).map_into_boxed_body()
}

async fn next_event(completion: &Completion, index: u32, token_time: Duration) -> Option<Bytes> {
    if index > completion.end {
        return None;
    }
    if index == completion.end {
        return Some(format!("{}data: [DONE]\n\n", completion.event(None)).into());
    }
    if !token_time.is_zero() {
        tokio::time::sleep(token_time).await;
    }
    Some(completion.event(Some(&completion.token(index))).into())
}
