//! Batches long-poll reads of several responses from one agent into few calls.
//!
//! Several batches can be in flight at once, each in a task of its own. When a
//! batch returns, readers that received progress submit a new read, and those that
//! received none remain pending; after a short delay (none if the batch had a
//! single read), all pending reads are sent in one call. Batches that return within
//! the delay are merged. A read that arrives while no task is collecting starts a
//! new batch at once, so it never waits for a batch in flight.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use clementine_objects::Millis;
use clementine_wire::{LinkError, Progress, ReadRequest, ReadResponse};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};

use super::Member;

/// Time after which the agent responds to a read even without progress. A
/// response that is later by the link's silence timeout is overdue; see
/// [`AgentLink::call`](clementine_wire::AgentLink::call).
const READ_POLL_TIMEOUT: Millis = Millis(250);

/// Time for which pending reads are collected into a batch.
const BATCH_DELAY: Duration = Duration::from_millis(1);

/// A read without a reply yet.
#[derive(Debug)]
struct PendingRead {
    request: ReadRequest,
    since: Instant,
    reply: oneshot::Sender<Result<ReadResponse, LinkError>>,
}

/// Pending reads from one agent.
///
/// Invariant: while `pending` is not empty, a task is collecting.
#[derive(Debug, Default)]
pub(super) struct ReadBatcher {
    pending: RefCell<Vec<PendingRead>>,
    collecting: Cell<bool>,
}

impl Member {
    /// Reads progress of work; it is empty if there was none within
    /// [`READ_POLL_TIMEOUT`].
    pub(crate) async fn read(
        self: &Rc<Self>,
        request: ReadRequest,
    ) -> Result<ReadResponse, LinkError> {
        let (reply, response) = oneshot::channel();
        let read = PendingRead { request, since: Instant::now(), reply };
        self.read_batcher.pending.borrow_mut().push(read);
        if !self.read_batcher.collecting.replace(true) {
            spawn_local(Rc::clone(self).run_batches());
        }
        response.await.unwrap_or(Err(LinkError::ConnectionLost))
    }

    /// Sends batches of pending reads until none is pending or another task is
    /// collecting.
    async fn run_batches(self: Rc<Self>) {
        yield_now().await;
        loop {
            self.read_batcher.collecting.set(false);
            let mut reads = self.read_batcher.pending.take();
            reads.retain(|read| !read.reply.is_closed());
            if reads.is_empty() {
                return;
            }
            let merge = reads.len() > 1;
            let without_reply = self.send_batch(reads).await;
            self.read_batcher.pending.borrow_mut().extend(without_reply);
            if self.read_batcher.collecting.replace(true) {
                return;
            }
            if merge {
                sleep(BATCH_DELAY).await;
            } else {
                yield_now().await;
            }
        }
    }

    /// Sends reads in one call, replies to those that received progress or are
    /// overdue, and returns the others.
    async fn send_batch(&self, reads: Vec<PendingRead>) -> Vec<PendingRead> {
        let requests: Vec<_> = reads.iter().map(|read| read.request).collect();
        let call = self.link.call(READ_POLL_TIMEOUT, |client, cx| async move {
            client.read(cx, requests, READ_POLL_TIMEOUT).await
        });
        let replies = match call.await {
            Ok(replies) => replies.into_iter().map(Ok).collect(),
            Err(error) => vec![Err(error); reads.len()],
        };
        let mut without_reply = Vec::new();
        for (read, reply) in reads.into_iter().zip(replies) {
            let overdue = read.since.elapsed() >= READ_POLL_TIMEOUT.duration();
            if overdue || !is_empty(&reply) {
                let _ = read.reply.send(reply);
            } else {
                without_reply.push(read);
            }
        }
        without_reply
    }
}

fn is_empty(reply: &Result<ReadResponse, LinkError>) -> bool {
    let Ok(ReadResponse::Progress(Progress { head, chunks, outcome })) = reply else {
        return false;
    };
    head.is_none() && chunks.is_empty() && outcome.is_none()
}
