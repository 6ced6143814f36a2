//! Serves completions and retryable service calls.

use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::{Bytes, BytesMut};
use clementine_decide::ids::{RequestId, WorkId};
use clementine_decide::outcome::ErrorKind;
use clementine_objects::Route;
use clementine_process::shutdown::InProgressGuard;
use clementine_wire::HttpResponseHead;
use futures::{Stream, stream};

use super::Endpoint;
use super::completion::Completion;
use super::pools::EligiblePools;
use super::run::{ResponsePart, RetryableRun};
use crate::callers::{CallerRequest, RequestError, full_response, stream_response};
use crate::entry::Entry;

impl Entry {
    /// Serves a completion request.
    pub(crate) async fn complete(
        self: Rc<Self>,
        caller: CallerRequest,
        endpoint: Endpoint,
    ) -> Result<Response<BoxBody>, RequestError> {
        let prompt_limit = self.settings.limits.prompt_bytes;
        let completion = Completion::parse(&caller.body, endpoint, prompt_limit)?;
        let pools = self.eligible_pools(&caller, &completion)?;
        let streamed = completion.stream.then_some(endpoint);
        let id = caller.id;
        let run = RetryableRun::new(Rc::clone(&self), caller, pools, streamed);
        if streamed.is_some() {
            return streamed_response(id, run, self.drain.track()).await;
        }
        buffered_response(id, run).await
    }

    /// Serves a call of a route that is safe to repeat.
    pub(crate) async fn call_service(
        self: Rc<Self>,
        caller: CallerRequest,
        route: &Route,
    ) -> Result<Response<BoxBody>, RequestError> {
        let id = caller.id;
        let pools = EligiblePools::Unsplit(vec![route.pool.clone()]);
        buffered_response(id, RetryableRun::new(self, caller, pools, None)).await
    }

    fn eligible_pools(
        &self,
        caller: &CallerRequest,
        completion: &Completion<'_>,
    ) -> Result<EligiblePools, RequestError> {
        let snapshot = self.snapshot();
        let name = &completion.model;
        let Some(model) = snapshot.catalog.model(name) else {
            return Err(RequestError::new(ErrorKind::NotFound, format!("unknown model `{name}`")));
        };
        if !caller.workspace.models.contains(name) {
            let message = format!("the workspace is not permitted to use model `{name}`");
            return Err(RequestError::new(ErrorKind::NotPermitted, message));
        }
        Ok(EligiblePools::for_model(&snapshot.catalog, model, WorkId(rand::random())))
    }
}

/// Buffers the response until it is complete, so that a failure before then can be
/// retried without the caller noticing more than a delay.
async fn buffered_response(
    id: RequestId,
    mut run: RetryableRun,
) -> Result<Response<BoxBody>, RequestError> {
    let limit = run.entry().settings.limits.response_bytes;
    let mut body = BytesMut::new();
    loop {
        match run.next().await? {
            ResponsePart::Chunks(chunks) => {
                for chunk in &chunks {
                    body.extend_from_slice(chunk);
                }
            }
            ResponsePart::Restart => body.clear(),
            ResponsePart::End => return Ok(full_response(id, &head(&run)?, body.freeze())),
        }
        if body.len() > limit {
            let message = format!("the response exceeds {limit} bytes");
            return Err(RequestError::new(ErrorKind::BackendFailed, message));
        }
    }
}

/// Forwards the response as it arrives, once its head is known.
async fn streamed_response(
    id: RequestId,
    mut run: RetryableRun,
    in_progress: InProgressGuard,
) -> Result<Response<BoxBody>, RequestError> {
    let mut first = Vec::new();
    while run.head.is_none() {
        match run.next().await? {
            ResponsePart::Chunks(chunks) => first.extend(chunks),
            ResponsePart::Restart => first.clear(),
            ResponsePart::End => break,
        }
    }
    let head = head(&run)?;
    Ok(stream_response(id, &head, event_stream(run, first, in_progress)))
}

fn head(run: &RetryableRun) -> Result<HttpResponseHead, RequestError> {
    let missing = || {
        RequestError::new(
            ErrorKind::BackendFailed,
            "the response ended before its status and headers",
        )
    };
    run.head.clone().ok_or_else(missing)
}

/// The body of a streamed response. A failure that cannot be retried is reported in
/// a final event.
struct EventStream {
    run: RetryableRun,
    first: Vec<Bytes>,
    failed: bool,
    _in_progress: InProgressGuard,
}

impl EventStream {
    async fn next(&mut self) -> Option<Bytes> {
        if !self.first.is_empty() {
            return Some(concat(std::mem::take(&mut self.first)));
        }
        while !self.failed {
            match self.run.next().await {
                Ok(ResponsePart::Chunks(chunks)) if chunks.is_empty() => {}
                Ok(ResponsePart::Chunks(chunks)) => return Some(concat(chunks)),
                Ok(ResponsePart::Restart) => {}
                Ok(ResponsePart::End) => return None,
                Err(error) => {
                    self.failed = true;
                    return Some([b"data: ", &error.to_json()[..], b"\n\n"].concat().into());
                }
            }
        }
        None
    }
}

/// Converts to a stream. The state is boxed because each event moves it.
fn event_stream(
    run: RetryableRun,
    first: Vec<Bytes>,
    in_progress: InProgressGuard,
) -> impl Stream<Item = Bytes> {
    let events = EventStream { run, first, failed: false, _in_progress: in_progress };
    stream::unfold(Box::new(events), |mut events| async move {
        let event = events.next().await?;
        Some((event, events))
    })
}

fn concat(mut chunks: Vec<Bytes>) -> Bytes {
    if chunks.len() == 1 {
        return chunks.remove(0);
    }
    chunks.concat().into()
}
