//! Storage of the agent's responses.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use clementine_decide::ids::{Tick, WorkId};
use clementine_objects::{Millis, Repeat};

use super::ResponseBuffer;

/// Limits on the stored responses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseStoreLimits {
    /// Maximum size of a response, in bytes.
    pub(crate) max_response_bytes: usize,
    /// Maximum total size of all responses, in bytes. Checked whenever a response
    /// ends; only ended responses are evicted.
    pub(crate) max_total_bytes: usize,
    /// Retention time of ended responses to repeatable requests.
    pub(crate) repeatable_retention: Millis,
    /// Retention time of other ended responses.
    pub(crate) once_retention: Millis,
}

/// The agent's responses by work id.
///
/// Invariants: `bytes` is the total size of all buffers that are still
/// referenced; each queue lists responses in the order in which they ended, and
/// may list responses that were already released.
#[derive(Debug)]
pub(crate) struct ResponseStore {
    limits: ResponseStoreLimits,
    buffers: HashMap<WorkId, Rc<ResponseBuffer>>,
    bytes: Rc<Cell<usize>>,
    ended_repeatable: VecDeque<EndedResponse>,
    ended_once: VecDeque<EndedResponse>,
}

#[derive(Debug, Clone, Copy)]
struct EndedResponse {
    work: WorkId,
    at: Tick,
}

impl ResponseStore {
    /// Creates an empty store.
    pub(crate) fn new(limits: ResponseStoreLimits) -> Self {
        Self {
            limits,
            buffers: HashMap::new(),
            bytes: Rc::default(),
            ended_repeatable: VecDeque::new(),
            ended_once: VecDeque::new(),
        }
    }

    /// Creates the buffer of new work.
    pub(crate) fn create(&mut self, work: WorkId, repeat: Repeat) -> Rc<ResponseBuffer> {
        let buffer =
            ResponseBuffer::new(repeat, self.limits.max_response_bytes, Rc::clone(&self.bytes));
        self.buffers.insert(work, Rc::clone(&buffer));
        buffer
    }

    /// Returns the buffer of work, if it is still stored.
    pub(crate) fn get(&self, work: WorkId) -> Option<Rc<ResponseBuffer>> {
        self.buffers.get(&work).cloned()
    }

    /// Records that a response has ended, then evicts ended responses, oldest
    /// first, while the total size is over its limit.
    pub(crate) fn record_end(&mut self, work: WorkId, repeat: Repeat, now: Tick) {
        self.ended(repeat).push_back(EndedResponse { work, at: now });
        while self.bytes.get() > self.limits.max_total_bytes && self.evict_oldest() {}
    }

    /// Removes a response that its entry has read, unless it has to be kept for
    /// retries with the same idempotency key.
    pub(crate) fn release(&mut self, work: WorkId) {
        if self.buffers.get(&work).is_some_and(|buffer| buffer.repeat() == Repeat::Safe) {
            self.buffers.remove(&work);
        }
    }

    /// Removes the response of work that was not admitted.
    pub(crate) fn discard(&mut self, work: WorkId) {
        self.buffers.remove(&work);
    }

    /// Returns the number of stored responses.
    pub(crate) fn len(&self) -> usize {
        self.buffers.len()
    }

    /// Returns the total size of all buffers that are still referenced, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Removes ended responses whose retention time is over.
    pub(crate) fn evict_expired(&mut self, now: Tick) {
        for repeat in [Repeat::Safe, Repeat::Never] {
            let retention = self.retention(repeat);
            while let Some(oldest) = self.ended(repeat).front().copied() {
                if now.since(oldest.at) < retention {
                    break;
                }
                self.ended(repeat).pop_front();
                self.buffers.remove(&oldest.work);
            }
        }
    }

    /// Evicts the oldest ended response; those to repeatable requests first, as
    /// these requests can be executed again. Returns false if none has ended.
    fn evict_oldest(&mut self) -> bool {
        let oldest = self.ended_repeatable.pop_front().or_else(|| self.ended_once.pop_front());
        if let Some(oldest) = oldest {
            self.buffers.remove(&oldest.work);
        }
        oldest.is_some()
    }

    const fn retention(&self, repeat: Repeat) -> Millis {
        match repeat {
            Repeat::Safe => self.limits.repeatable_retention,
            Repeat::Never => self.limits.once_retention,
        }
    }

    const fn ended(&mut self, repeat: Repeat) -> &mut VecDeque<EndedResponse> {
        match repeat {
            Repeat::Safe => &mut self.ended_repeatable,
            Repeat::Never => &mut self.ended_once,
        }
    }
}
