//! Bounded set of the requests that completed last.

use std::collections::{HashSet, VecDeque};

use super::Fingerprint;

/// The last requests that were added.
///
/// Invariant: `order` holds each request of `members` once, oldest first, and at most
/// `capacity` of them.
#[derive(Debug, Default)]
pub(super) struct RecentSet {
    members: HashSet<Fingerprint>,
    order: VecDeque<Fingerprint>,
}

impl RecentSet {
    /// Adds a request, and drops the oldest one if there are more than `capacity`.
    pub(super) fn insert(&mut self, request: Fingerprint, capacity: usize) {
        if !self.members.insert(request) {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.members.remove(&oldest);
        }
    }

    /// Whether a request is among the last ones.
    pub(super) fn contains(&self, request: Fingerprint) -> bool {
        self.members.contains(&request)
    }
}
