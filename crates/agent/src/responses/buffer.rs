//! One answer and its readers.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use clementine_objects::Repeat;
use clementine_wire::{HttpResponseHead, Progress, ReadResponse, WorkOutcome};
use tokio::sync::Notify;

/// One answer: its head, its chunks and how it ended.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    repeat: Repeat,
    max_bytes: usize,
    /// Bytes of all buffers together.
    total_bytes: Rc<Cell<usize>>,
    state: RefCell<BufferState>,
    on_write: Notify,
    on_read: Notify,
}

/// Invariants: `chunks` holds the chunks `dropped..dropped + chunks.len()`;
/// `bytes` is their total length; nothing is added after `end`.
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
    /// An empty buffer of at most `limit_bytes`.
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

    /// Whether the answer's request may be run again.
    pub(crate) const fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// Whether the caller has given the request up.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.state.borrow().cancelled
    }

    /// Notes that the caller has given the request up.
    pub(crate) fn cancel(&self) {
        self.state.borrow_mut().cancelled = true;
        self.on_write.notify_waiters();
        self.on_read.notify_waiters();
    }

    /// Waits until the caller has given the request up.
    pub(crate) async fn wait_cancelled(&self) {
        while !self.is_cancelled() {
            self.on_read.notified().await;
        }
    }

    /// Sets status and headers.
    pub(crate) fn set_head(&self, head: HttpResponseHead) {
        self.state.borrow_mut().head = Some(head);
        self.on_write.notify_waiters();
    }

    /// Adds a chunk. Waits while the reader of a repeatable request is behind
    /// by more than the buffer holds; an answer that must be kept whole ends
    /// as too large instead, and false is returned.
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

    /// Ends the answer, unless it has ended.
    pub(crate) fn finish(&self, outcome: WorkOutcome) {
        let mut state = self.state.borrow_mut();
        if state.outcome.is_none() {
            state.outcome = Some(outcome);
        }
        drop(state);
        self.on_write.notify_waiters();
        self.on_read.notify_waiters();
    }

    /// Progress from an offset on. The chunks before it are dropped when the
    /// request may be run again.
    pub(crate) fn read(&self, offset: u32) -> ReadResponse {
        if self.repeat == Repeat::Safe {
            self.drop_before(offset);
        }
        let state = self.state.borrow();
        let Some(skip) = offset.checked_sub(state.dropped) else { return ReadResponse::NotHeld };
        ReadResponse::Progress(Progress {
            head: if offset == 0 { state.head.clone() } else { None },
            chunks: state.chunks.iter().skip(skip as usize).cloned().collect(),
            end: state.outcome,
        })
    }

    /// Waits until there is progress after an offset, the head included when
    /// the offset is 0.
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
