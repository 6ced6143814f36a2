//! Reads of several answers at one agent, gathered into one call.
//!
//! Each call in progress is a lane. When a lane returns, the readers that got
//! progress ask again, and those that got none wait on; after a short pause all
//! that wait leave in one new call. Lanes that return within the pause merge,
//! and a reader that joins while all lanes are out starts one of its own, so
//! that it is never held up.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use clementine_objects::Millis;
use clementine_wire::{LinkError, Progress, ReadRequest, ReadResponse};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};

use super::Member;

/// Longest wait of one read. An answer that is later by the link's silence
/// limit shows that the connection is silent.
const READ_POLL_TIMEOUT: Millis = Millis(250);

/// Pause in which reads are gathered.
const BATCH_DELAY: Duration = Duration::from_millis(1);

/// A read that waits for its reply.
#[derive(Debug)]
struct PendingRead {
    request: ReadRequest,
    since: Instant,
    reply: oneshot::Sender<Result<ReadResponse, LinkError>>,
}

/// Reads of answers at one agent.
///
/// Invariant: while reads wait in `waiting`, a lane is gathering.
#[derive(Debug, Default)]
pub(super) struct ReadBatcher {
    waiting: RefCell<Vec<PendingRead>>,
    collecting: Cell<bool>,
}

impl Member {
    /// Reads progress of work; empty when there was none in time.
    pub(crate) async fn read(
        self: &Rc<Self>,
        request: ReadRequest,
    ) -> Result<ReadResponse, LinkError> {
        let (reply, answer) = oneshot::channel();
        let read = PendingRead { request, since: Instant::now(), reply };
        self.read_batcher.waiting.borrow_mut().push(read);
        if !self.read_batcher.collecting.replace(true) {
            spawn_local(Rc::clone(self).run_batches());
        }
        answer.await.unwrap_or(Err(LinkError::ConnectionLost))
    }

    /// Sends what waits, again and again, until nothing does or another lane
    /// takes over.
    async fn run_batches(self: Rc<Self>) {
        yield_now().await;
        loop {
            self.read_batcher.collecting.set(false);
            let mut reads = self.read_batcher.waiting.take();
            reads.retain(|read| !read.reply.is_closed());
            if reads.is_empty() {
                return;
            }
            let merge = reads.len() > 1;
            let left = self.send_batch(reads).await;
            self.read_batcher.waiting.borrow_mut().extend(left);
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

    /// Sends reads in one call, replies to those that got progress and returns
    /// the others.
    async fn send_batch(&self, reads: Vec<PendingRead>) -> Vec<PendingRead> {
        let requests: Vec<_> = reads.iter().map(|read| read.request).collect();
        let call = self.link.call(READ_POLL_TIMEOUT, |client, cx| async move {
            client.read(cx, requests, READ_POLL_TIMEOUT).await
        });
        let replies = match call.await {
            Ok(replies) => replies.into_iter().map(Ok).collect(),
            Err(error) => vec![Err(error); reads.len()],
        };
        let mut left = Vec::new();
        for (read, reply) in reads.into_iter().zip(replies) {
            let overdue = read.since.elapsed() >= READ_POLL_TIMEOUT.duration();
            if overdue || !is_empty(&reply) {
                let _ = read.reply.send(reply);
            } else {
                left.push(read);
            }
        }
        left
    }
}

fn is_empty(reply: &Result<ReadResponse, LinkError>) -> bool {
    let Ok(ReadResponse::Progress(Progress { head, chunks, end })) = reply else { return false };
    head.is_none() && chunks.is_empty() && end.is_none()
}
