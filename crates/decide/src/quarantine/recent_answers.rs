//! When suspects were answered last.

use std::collections::{HashMap, VecDeque};

use super::Suspect;
use crate::ids::Tick;

/// The suspects that were first answered last, with the time of their last answer.
///
/// Invariant: `order` holds each suspect of `answers` once, oldest first, and at most
/// `capacity` of them.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    answers: HashMap<Suspect, Tick>,
    order: VecDeque<Suspect>,
}

impl RecentAnswers {
    /// Records an answer. If there are more than `capacity` suspects, the oldest one
    /// is dropped.
    pub(super) fn record(&mut self, suspect: Suspect, now: Tick, capacity: usize) {
        if self.answers.insert(suspect, now).is_some() {
            return;
        }
        self.order.push_back(suspect);
        if self.order.len() > capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    /// Time of a suspect's last answer, if it is known.
    pub(super) fn last(&self, suspect: Suspect) -> Option<Tick> {
        self.answers.get(&suspect).copied()
    }
}
