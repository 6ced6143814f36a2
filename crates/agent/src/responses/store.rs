//! All answers of the agent.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use clementine_decide::ids::{Tick, WorkId};
use clementine_objects::{Millis, Repeat};

use super::ResponseBuffer;

/// Bounds of the kept answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseStoreLimits {
    /// Memory of one answer, in bytes.
    pub(crate) max_response_bytes: usize,
    /// Memory of all answers, in bytes.
    pub(crate) max_total_bytes: usize,
    /// Time for which ended answers of repeatable requests are kept.
    pub(crate) repeatable_retention: Millis,
    /// Time for which other ended answers are kept.
    pub(crate) once_retention: Millis,
}

/// The answers of the agent by work.
///
/// Invariants: `bytes` is the size of all buffers that are still referred to;
/// each queue lists its answers in the order in which they ended, and may
/// still list closed ones.
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
    /// An empty shelf.
    pub(crate) fn new(limits: ResponseStoreLimits) -> Self {
        Self {
            limits,
            buffers: HashMap::new(),
            bytes: Rc::default(),
            ended_repeatable: VecDeque::new(),
            ended_once: VecDeque::new(),
        }
    }

    /// Opens the buffer of new work.
    pub(crate) fn create(&mut self, work: WorkId, repeat: Repeat) -> Rc<ResponseBuffer> {
        let buffer =
            ResponseBuffer::new(repeat, self.limits.max_response_bytes, Rc::clone(&self.bytes));
        self.buffers.insert(work, Rc::clone(&buffer));
        buffer
    }

    /// The buffer of work, while it is kept.
    pub(crate) fn get(&self, work: WorkId) -> Option<Rc<ResponseBuffer>> {
        self.buffers.get(&work).cloned()
    }

    /// Notes that an answer has ended, and drops the oldest ended answers
    /// while all together are over their memory.
    pub(crate) fn record_end(&mut self, work: WorkId, repeat: Repeat, now: Tick) {
        self.ended(repeat).push_back(EndedResponse { work, at: now });
        while self.bytes.get() > self.limits.max_total_bytes && self.evict_oldest() {}
    }

    /// Drops the answer of work, unless it has to be kept for repetitions.
    pub(crate) fn release(&mut self, work: WorkId) {
        if self.buffers.get(&work).is_some_and(|buffer| buffer.repeat() == Repeat::Safe) {
            self.buffers.remove(&work);
        }
    }

    /// Drops the answer of work that was not admitted.
    pub(crate) fn discard(&mut self, work: WorkId) {
        self.buffers.remove(&work);
    }

    /// Number of answers kept.
    pub(crate) fn len(&self) -> usize {
        self.buffers.len()
    }

    /// Bytes of all answers kept.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Drops the ended answers that are over their time.
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

    /// Repeatable requests go first: theirs can be run again.
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
