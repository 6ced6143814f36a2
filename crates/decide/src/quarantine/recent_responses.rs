//! When requests with a suspect last got a response.

use std::collections::{HashMap, VecDeque};

use super::Suspect;
use crate::ids::Tick;

/// The suspects that most recently got their first response, with the time of the last
/// one.
///
/// Invariant: `order` holds each suspect of `responses` once, oldest first, and at most
/// `capacity` of them.
#[derive(Debug, Default)]
pub(super) struct RecentResponses {
    responses: HashMap<Suspect, Tick>,
    order: VecDeque<Suspect>,
}

impl RecentResponses {
    /// Records a response. If there are more than `capacity` suspects, the oldest one
    /// is dropped.
    pub(super) fn record(&mut self, suspect: Suspect, now: Tick, capacity: usize) {
        if self.responses.insert(suspect, now).is_some() {
            return;
        }
        self.order.push_back(suspect);
        if self.order.len() > capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.responses.remove(&oldest);
        }
    }

    /// Time of the last response, if it is known.
    pub(super) fn last(&self, suspect: Suspect) -> Option<Tick> {
        self.responses.get(&suspect).copied()
    }
}
