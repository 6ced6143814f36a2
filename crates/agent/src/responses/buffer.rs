//! Buffer of a single response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use clementine_objects::Repeat;
use clementine_wire::{HttpResponseHead, Progress, ReadResponse, WorkOutcome};
use tokio::sync::Notify;

/// A response with its head, chunks and outcome, written by one task and read by
/// offset.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    repeat: Repeat,
    max_bytes: usize,
    /// Total size of all buffers.
    total_bytes: Rc<Cell<usize>>,
    state: RefCell<BufferState>,
    /// Notified of new progress and of cancellation.
    on_write: Notify,
    /// Notified when the buffer is read, the response ends or the request is
    /// cancelled.
    on_read: Notify,
}

/// Invariants: `chunks` holds the chunks with the indices
/// `dropped..dropped + chunks.len()`; `bytes` is their total length; no chunk is
/// added once `outcome` is set.
#[derive(Debug, Default)]
struct BufferState {
    head: Option<HttpResponseHead>,
    dropped: u32,
    chunks: VecDeque<Bytes>,
    bytes: usize,
    outcome: Option<WorkOutcome>,
    cancelled: bool,
}

impl ResponseBuffer {
    /// Creates an empty buffer for at most `max_bytes`, whose size is also
    /// counted in `total_bytes`.
    pub(crate) fn new(repeat: Repeat, max_bytes: usize, total_bytes: Rc<Cell<usize>>) -> Rc<Self> {
        Rc::new(Self {
            repeat,
            max_bytes,
            total_bytes,
            state: RefCell::default(),
            on_write: Notify::new(),
            on_read: Notify::new(),
        })
    }

    /// Returns whether the request may be repeated.
    pub(crate) const fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// Returns whether the request was cancelled.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.state.borrow().cancelled
    }

    /// Cancels the request.
    pub(crate) fn cancel(&self) {
        self.state.borrow_mut().cancelled = true;
        self.on_write.notify_waiters();
        self.on_read.notify_waiters();
    }

    /// Waits until the request is cancelled.
    pub(crate) async fn wait_cancelled(&self) {
        while !self.is_cancelled() {
            self.on_read.notified().await;
        }
    }

    /// Sets the status and headers.
    pub(crate) fn set_head(&self, head: HttpResponseHead) {
        self.state.borrow_mut().head = Some(head);
        self.on_write.notify_waiters();
    }

    /// Appends a chunk and returns whether it was stored. An empty buffer takes a
    /// chunk of any size.
    ///
    /// If the buffer is full, the behaviour depends on the request. For a
    /// repeatable one, waits until chunks have been read or the request is
    /// cancelled. For any other, ends the response as too large, since it has to
    /// be kept completely.
    pub(crate) async fn push(&self, chunk: Bytes) -> bool {
        while self.is_full(chunk.len()) {
            if self.repeat == Repeat::Never {
                self.finish(WorkOutcome::TooLarge);
                return false;
            }
            if self.is_cancelled() {
                return false;
            }
            self.on_read.notified().await;
        }
        let mut state = self.state.borrow_mut();
        state.bytes += chunk.len();
        self.total_bytes.update(|bytes| bytes + chunk.len());
        state.chunks.push_back(chunk);
        drop(state);
        self.on_write.notify_waiters();
        true
    }

    /// Sets the outcome unless it is already set.
    pub(crate) fn finish(&self, outcome: WorkOutcome) {
        let mut state = self.state.borrow_mut();
        if state.outcome.is_none() {
            state.outcome = Some(outcome);
        }
        drop(state);
        self.on_write.notify_waiters();
        self.on_read.notify_waiters();
    }

    /// Returns the progress from `offset` on. If the request is repeatable, drops
    /// the chunks before `offset`.
    pub(crate) fn read(&self, offset: u32) -> ReadResponse {
        if self.repeat == Repeat::Safe {
            self.drop_before(offset);
        }
        let state = self.state.borrow();
        let Some(skip) = offset.checked_sub(state.dropped) else { return ReadResponse::NotHeld };
        ReadResponse::Progress(Progress {
            head: if offset == 0 { state.head.clone() } else { None },
            chunks: state.chunks.iter().skip(skip as usize).cloned().collect(),
            outcome: state.outcome,
        })
    }

    /// Waits until there are chunks from `offset` on, the response has ended or
    /// the request was cancelled. The head alone does not end the wait.
    pub(crate) async fn wait_for_progress(&self, offset: u32) {
        while !self.has_progress(offset) {
            self.on_write.notified().await;
        }
    }

    fn has_progress(&self, offset: u32) -> bool {
        let state = self.state.borrow();
        let written = state.dropped + u32::try_from(state.chunks.len()).unwrap_or(u32::MAX);
        written > offset || state.outcome.is_some() || state.cancelled
    }

    fn is_full(&self, more: usize) -> bool {
        let state = self.state.borrow();
        state.bytes > 0 && state.bytes + more > self.max_bytes
    }

    fn drop_before(&self, offset: u32) {
        let mut state = self.state.borrow_mut();
        while state.dropped < offset {
            let Some(chunk) = state.chunks.pop_front() else { break };
            state.bytes -= chunk.len();
            self.total_bytes.update(|bytes| bytes - chunk.len());
            state.dropped += 1;
        }
        drop(state);
        self.on_read.notify_waiters();
    }
}

impl Drop for ResponseBuffer {
    fn drop(&mut self) {
        let held = self.state.borrow().bytes;
        self.total_bytes.update(|bytes| bytes - held);
    }
}
