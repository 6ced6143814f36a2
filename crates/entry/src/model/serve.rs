//! Serves completions and safe calls.

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
use super::pools::Places;
use super::safe_run::{Part, SafeRun};
use crate::callers::{CallerRequest, Refusal, answer_response, stream_response};
use crate::entry::Entry;

impl Entry {
    /// Serves a completion request.
    pub(crate) async fn complete(
        self: Rc<Self>,
        caller: CallerRequest,
        endpoint: Endpoint,
    ) -> Result<Response<BoxBody>, Refusal> {
        let prompt_limit = self.settings.limits.prompt_bytes;
        let completion = Completion::parse(&caller.body, endpoint, prompt_limit)?;
        let places = self.places(&caller, &completion)?;
        let streamed = completion.stream.then_some(endpoint);
        let id = caller.id;
        let run = SafeRun::new(Rc::clone(&self), caller, places, streamed);
        if streamed.is_some() {
            return stream_answer(id, run, self.drain.track()).await;
        }
        whole_answer(id, run).await
    }

    /// Serves a call of a plain service that may be run again.
    pub(crate) async fn call_service(
        self: Rc<Self>,
        caller: CallerRequest,
        route: &Route,
    ) -> Result<Response<BoxBody>, Refusal> {
        let id = caller.id;
        let places = Places::Whole(vec![route.pool.clone()]);
        whole_answer(id, SafeRun::new(self, caller, places, None)).await
    }

    fn places(
        &self,
        caller: &CallerRequest,
        completion: &Completion<'_>,
    ) -> Result<Places, Refusal> {
        let snapshot = self.snapshot();
        let name = &completion.model;
        let Some(model) = snapshot.catalog.model(name) else {
            return Err(Refusal::new(ErrorKind::NotFound, format!("there is no model `{name}`")));
        };
        if !caller.workspace.models.contains(name) {
            let message = format!("the workspace may not use model `{name}`");
            return Err(Refusal::new(ErrorKind::NotPermitted, message));
        }
        Ok(Places::of_model(&snapshot.catalog, model, WorkId(rand::random())))
    }
}

/// Holds the answer until it is whole, so that a failure before costs the
/// caller nothing but time.
async fn whole_answer(id: RequestId, mut run: SafeRun) -> Result<Response<BoxBody>, Refusal> {
    let limit = run.entry().settings.limits.answer_bytes;
    let mut body = BytesMut::new();
    loop {
        match run.next().await? {
            Part::Chunks(chunks) => chunks.iter().for_each(|chunk| body.extend_from_slice(chunk)),
            Part::Restart => body.clear(),
            Part::End => return Ok(answer_response(id, &head(&run)?, body.freeze())),
        }
        if body.len() > limit {
            let message = format!("the answer is larger than {limit} bytes");
            return Err(Refusal::new(ErrorKind::BackendFailed, message));
        }
    }
}

/// Passes the answer on as it comes, from its head on.
async fn stream_answer(
    id: RequestId,
    mut run: SafeRun,
    in_progress: InProgressGuard,
) -> Result<Response<BoxBody>, Refusal> {
    let mut first = Vec::new();
    while run.head.is_none() {
        match run.next().await? {
            Part::Chunks(chunks) => first.extend(chunks),
            Part::Restart => first.clear(),
            Part::End => break,
        }
    }
    let head = head(&run)?;
    Ok(stream_response(id, &head, events(run, first, in_progress)))
}

fn head(run: &SafeRun) -> Result<HttpResponseHead, Refusal> {
    let missing = || Refusal::new(ErrorKind::BackendFailed, "the answer has no head");
    run.head.clone().ok_or_else(missing)
}

/// The rest of a streamed answer. A failure that can't be made good is told
/// in a last event.
struct EventStream {
    run: SafeRun,
    first: Vec<Bytes>,
    failed: bool,
    _in_progress: InProgressGuard,
}

impl EventStream {
    async fn next(&mut self) -> Option<Bytes> {
        if !self.first.is_empty() {
            return Some(joined(std::mem::take(&mut self.first)));
        }
        while !self.failed {
            match self.run.next().await {
                Ok(Part::Chunks(chunks)) if chunks.is_empty() => {}
                Ok(Part::Chunks(chunks)) => return Some(joined(chunks)),
                Ok(Part::Restart) => {}
                Ok(Part::End) => return None,
                Err(refusal) => {
                    self.failed = true;
                    return Some([b"data: ", &refusal.json()[..], b"\n\n"].concat().into());
                }
            }
        }
        None
    }
}

/// Boxed, so that each event moves a pointer and not the whole state.
fn events(
    run: SafeRun,
    first: Vec<Bytes>,
    in_progress: InProgressGuard,
) -> impl Stream<Item = Bytes> {
    let events = EventStream { run, first, failed: false, _in_progress: in_progress };
    stream::unfold(Box::new(events), |mut events| async move {
        let event = events.next().await?;
        Some((event, events))
    })
}

fn joined(mut chunks: Vec<Bytes>) -> Bytes {
    if chunks.len() == 1 {
        return chunks.remove(0);
    }
    chunks.concat().into()
}
