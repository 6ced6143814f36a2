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
const READ_WAIT: Millis = Millis(250);

/// Pause in which reads are gathered.
const GATHER_PAUSE: Duration = Duration::from_millis(1);

/// A read that waits for its reply.
#[derive(Debug)]
struct WaitingRead {
    order: ReadRequest,
    since: Instant,
    reply: oneshot::Sender<Result<ReadResponse, LinkError>>,
}

/// Reads of answers at one agent.
///
/// Invariant: while reads wait in `waiting`, a lane is gathering.
#[derive(Debug, Default)]
pub(super) struct ReadLanes {
    waiting: RefCell<Vec<WaitingRead>>,
    gathering: Cell<bool>,
}

impl Member {
    /// Reads progress of work; empty when there was none in time.
    pub(crate) async fn read(
        self: &Rc<Self>,
        order: ReadRequest,
    ) -> Result<ReadResponse, LinkError> {
        let (reply, answer) = oneshot::channel();
        let read = WaitingRead { order, since: Instant::now(), reply };
        self.lanes.waiting.borrow_mut().push(read);
        if !self.lanes.gathering.replace(true) {
            spawn_local(Rc::clone(self).run_lane());
        }
        answer.await.unwrap_or(Err(LinkError::ConnectionLost))
    }

    /// Sends what waits, again and again, until nothing does or another lane
    /// takes over.
    async fn run_lane(self: Rc<Self>) {
        yield_now().await;
        loop {
            self.lanes.gathering.set(false);
            let mut reads = self.lanes.waiting.take();
            reads.retain(|read| !read.reply.is_closed());
            if reads.is_empty() {
                return;
            }
            let merge = reads.len() > 1;
            let left = self.send_reads(reads).await;
            self.lanes.waiting.borrow_mut().extend(left);
            if self.lanes.gathering.replace(true) {
                return;
            }
            if merge {
                sleep(GATHER_PAUSE).await;
            } else {
                yield_now().await;
            }
        }
    }

    /// Sends reads in one call, replies to those that got progress and returns
    /// the others.
    async fn send_reads(&self, reads: Vec<WaitingRead>) -> Vec<WaitingRead> {
        let orders: Vec<_> = reads.iter().map(|read| read.order).collect();
        let call = self
            .link
            .call(READ_WAIT, |client, cx| async move { client.read(cx, orders, READ_WAIT).await });
        let replies = match call.await {
            Ok(replies) => replies.into_iter().map(Ok).collect(),
            Err(fault) => vec![Err(fault); reads.len()],
        };
        let mut left = Vec::new();
        for (read, reply) in reads.into_iter().zip(replies) {
            let overdue = read.since.elapsed() >= READ_WAIT.duration();
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
