//! Accounting of in-flight requests and their context tokens per backend server.

use std::rc::Rc;

use clementine_decide::ids::{BackendId, PoolId};

use super::SharedState;

/// A request's load on the backend servers that handle it. Dropping the
/// reservation releases the load, and offers it to the requests that wait for the
/// pool.
#[derive(Debug)]
pub(crate) struct Reservation {
    shared: Rc<SharedState>,
    /// The servers; the request occupies a slot of the first one.
    backends: Vec<BackendId>,
    tokens: f64,
    /// Pool of the servers; `None` if they are not listed any more.
    pool: Option<PoolId>,
}

impl Reservation {
    /// Adds one request with its context tokens to the load of each backend server. It
    /// begins at the first one.
    pub(crate) fn new(shared: &Rc<SharedState>, backends: Vec<BackendId>, tokens: f64) -> Self {
        let mut fleet = shared.fleet.borrow_mut();
        let mut pool = None;
        for (stage, id) in backends.iter().enumerate() {
            if let Some(member) = fleet.get_mut(id) {
                member.in_flight += 1;
                member.first_stages += u32::from(stage == 0);
                member.used_tokens += tokens;
                pool.get_or_insert_with(|| member.backend.pool.clone());
            }
        }
        drop(fleet);
        Self { shared: Rc::clone(shared), backends, tokens, pool }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet.borrow_mut();
        for (stage, id) in self.backends.iter().enumerate() {
            // The counters of a server that has restarted since the reservation
            // began at zero, so they must not become negative here.
            if let Some(member) = fleet.get_mut(id) {
                member.in_flight = member.in_flight.saturating_sub(1);
                member.first_stages = member.first_stages.saturating_sub(u32::from(stage == 0));
                member.used_tokens = (member.used_tokens - self.tokens).max(0.0);
            }
        }
        drop(fleet);
        if let Some(pool) = &self.pool {
            self.shared.place_freed(pool);
        }
    }
}
