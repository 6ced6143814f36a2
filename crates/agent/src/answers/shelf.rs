//! All answers of the agent.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use clementine_decide::ids::{Tick, WorkId};
use clementine_objects::{Millis, Repeat};

use super::AnswerBuffer;

/// Bounds of the kept answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShelfLimits {
    /// Memory of one answer, in bytes.
    pub(crate) answer_bytes: usize,
    /// Memory of all answers, in bytes.
    pub(crate) total_bytes: usize,
    /// Time for which ended answers of repeatable requests are kept.
    pub(crate) keep_repeatable: Millis,
    /// Time for which other ended answers are kept.
    pub(crate) keep_once: Millis,
}

/// The answers of the agent by work.
///
/// Invariants: `bytes` is the size of all buffers that are still referred to;
/// each queue lists its answers in the order in which they ended, and may
/// still list closed ones.
#[derive(Debug)]
pub(crate) struct Shelf {
    limits: ShelfLimits,
    answers: HashMap<WorkId, Rc<AnswerBuffer>>,
    bytes: Rc<Cell<usize>>,
    ended_repeatable: VecDeque<EndedAnswer>,
    ended_once: VecDeque<EndedAnswer>,
}

#[derive(Debug, Clone, Copy)]
struct EndedAnswer {
    work: WorkId,
    at: Tick,
}

impl Shelf {
    /// An empty shelf.
    pub(crate) fn new(limits: ShelfLimits) -> Self {
        Self {
            limits,
            answers: HashMap::new(),
            bytes: Rc::default(),
            ended_repeatable: VecDeque::new(),
            ended_once: VecDeque::new(),
        }
    }

    /// Opens the buffer of new work.
    pub(crate) fn open(&mut self, work: WorkId, repeat: Repeat) -> Rc<AnswerBuffer> {
        let buffer = AnswerBuffer::new(repeat, self.limits.answer_bytes, Rc::clone(&self.bytes));
        self.answers.insert(work, Rc::clone(&buffer));
        buffer
    }

    /// The buffer of work, while it is kept.
    pub(crate) fn get(&self, work: WorkId) -> Option<Rc<AnswerBuffer>> {
        self.answers.get(&work).cloned()
    }

    /// Notes that an answer has ended, and drops the oldest ended answers
    /// while all together are over their memory.
    pub(crate) fn note_ended(&mut self, work: WorkId, repeat: Repeat, now: Tick) {
        self.ended(repeat).push_back(EndedAnswer { work, at: now });
        while self.bytes.get() > self.limits.total_bytes && self.drop_oldest() {}
    }

    /// Drops the answer of work, unless it has to be kept for repetitions.
    pub(crate) fn close(&mut self, work: WorkId) {
        if self.answers.get(&work).is_some_and(|answer| answer.repeat() == Repeat::Safe) {
            self.answers.remove(&work);
        }
    }

    /// Drops the answer of work that was not admitted.
    pub(crate) fn discard(&mut self, work: WorkId) {
        self.answers.remove(&work);
    }

    /// Number of answers kept.
    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    /// Bytes of all answers kept.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Drops the ended answers that are over their time.
    pub(crate) fn sweep(&mut self, now: Tick) {
        for repeat in [Repeat::Safe, Repeat::Never] {
            let keep = self.keep(repeat);
            while let Some(oldest) = self.ended(repeat).front().copied() {
                if now.since(oldest.at) < keep {
                    break;
                }
                self.ended(repeat).pop_front();
                self.answers.remove(&oldest.work);
            }
        }
    }

    /// Repeatable requests go first: theirs can be run again.
    fn drop_oldest(&mut self) -> bool {
        let oldest = self.ended_repeatable.pop_front().or_else(|| self.ended_once.pop_front());
        if let Some(oldest) = oldest {
            self.answers.remove(&oldest.work);
        }
        oldest.is_some()
    }

    const fn keep(&self, repeat: Repeat) -> Millis {
        match repeat {
            Repeat::Safe => self.limits.keep_repeatable,
            Repeat::Never => self.limits.keep_once,
        }
    }

    const fn ended(&mut self, repeat: Repeat) -> &mut VecDeque<EndedAnswer> {
        match repeat {
            Repeat::Safe => &mut self.ended_repeatable,
            Repeat::Never => &mut self.ended_once,
        }
    }
}
