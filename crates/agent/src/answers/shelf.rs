//! All answers of the agent.

use std::collections::HashMap;
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
#[derive(Debug)]
pub(crate) struct Shelf {
    limits: ShelfLimits,
    answers: HashMap<WorkId, Rc<AnswerBuffer>>,
}

impl Shelf {
    /// An empty shelf.
    pub(crate) fn new(limits: ShelfLimits) -> Self {
        Self { limits, answers: HashMap::new() }
    }

    /// Opens the buffer of new work.
    pub(crate) fn open(&mut self, work: WorkId, repeat: Repeat) -> Rc<AnswerBuffer> {
        let buffer = AnswerBuffer::new(repeat, self.limits.answer_bytes);
        self.answers.insert(work, Rc::clone(&buffer));
        buffer
    }

    /// The buffer of work, while it is kept.
    pub(crate) fn get(&self, work: WorkId) -> Option<Rc<AnswerBuffer>> {
        self.answers.get(&work).cloned()
    }

    /// Drops the answer of work.
    pub(crate) fn close(&mut self, work: WorkId) {
        self.answers.remove(&work);
    }

    /// Number of answers kept.
    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    /// Bytes of all answers kept.
    pub(crate) fn bytes(&self) -> usize {
        self.answers.values().map(|answer| answer.bytes()).sum()
    }

    /// Drops ended answers that are over their time, then the oldest ended
    /// ones while all together are over their memory.
    pub(crate) fn sweep(&mut self, now: Tick) {
        let limits = self.limits;
        self.answers.retain(|_, answer| {
            let keep = match answer.repeat() {
                Repeat::Safe => limits.keep_repeatable,
                Repeat::Never => limits.keep_once,
            };
            answer.ended().is_none_or(|ended| now.since(ended) < keep)
        });
        let mut bytes = self.bytes();
        if bytes <= limits.total_bytes {
            return;
        }
        let ended =
            self.answers.iter().filter_map(|(work, a)| a.ended().map(|at| (at, *work, a.bytes())));
        let mut ended: Vec<_> = ended.collect();
        ended.sort_unstable();
        for (_, work, size) in ended {
            if bytes <= limits.total_bytes {
                break;
            }
            self.answers.remove(&work);
            bytes -= size;
        }
    }
}
