//! Work counted at the backend servers that do it.

use std::rc::Rc;

use clementine_decide::ids::BackendId;

use super::Hub;

/// Work counted at the backend servers that do it, until dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    hub: Rc<Hub>,
    backends: Vec<BackendId>,
    tokens: f64,
}

impl Reservation {
    /// Counts one request with its tokens of context at some backend servers.
    pub(crate) fn new(hub: &Rc<Hub>, backends: Vec<BackendId>, tokens: f64) -> Self {
        let mut fleet = hub.fleet.borrow_mut();
        for id in &backends {
            if let Some(member) = fleet.get_mut(id) {
                member.in_flight += 1;
                member.used_tokens += tokens;
            }
        }
        drop(fleet);
        Self { hub: Rc::clone(hub), backends, tokens }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut fleet = self.hub.fleet.borrow_mut();
        for id in &self.backends {
            // A server that has started again counts from nothing.
            if let Some(member) = fleet.get_mut(id) {
                member.in_flight = member.in_flight.saturating_sub(1);
                member.used_tokens = (member.used_tokens - self.tokens).max(0.0);
            }
        }
    }
}
