//! Admission of requests that are suspected of crashing the backend server.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::BackendIncarnation;
use clementine_decide::quarantine::SuspectGate;
use spdlog::info;
use tokio::task::spawn_local;

use super::SharedState;

/// Time for which a new connection has to stay open to prove that the backend
/// server is alive. A process that is exiting may still accept connections.
pub(super) const LIVENESS_CHECK_TIME: Duration = Duration::from_millis(50);

/// Counts a suspect as running until it is dropped.
#[derive(Debug)]
pub(crate) struct SuspectGuard {
    gate: Rc<RefCell<SuspectGate>>,
}

impl SuspectGuard {
    /// Admits a suspect, or returns `None` if it may not run now.
    pub(super) fn try_admit(gate: &Rc<RefCell<SuspectGate>>) -> Option<Self> {
        gate.borrow_mut().try_admit().then(|| Self { gate: Rc::clone(gate) })
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.gate.borrow_mut().record_end();
    }
}

impl SharedState {
    /// The backend server behind this agent. Runs that are lost until its liveness is
    /// proved again are counted as one crash.
    pub(super) fn backend_incarnation(&self) -> BackendIncarnation {
        let agent = self.agent_ref();
        let proof = self.liveness_proofs.get();
        BackendIncarnation::behind_agent(agent.address, agent.incarnation, proof)
    }

    /// Records that the backend server is alive, so that suspects are admitted.
    pub(super) fn record_backend_alive(&self) {
        self.liveness_proofs.update(|proofs| proofs + 1);
        self.suspect_gate.borrow_mut().record_alive();
    }

    /// Records that the backend server broke off a run, and checks whether it is
    /// alive. Suspects are not admitted until that is known.
    pub(super) fn record_backend_loss(self: &Rc<Self>) {
        if !self.suspect_gate.borrow_mut().record_loss() {
            return;
        }
        let shared = Rc::clone(self);
        spawn_local(async move {
            if shared.settings.backend.stays_connected(LIVENESS_CHECK_TIME).await {
                info!("backend: broke off a run and is alive");
                shared.record_backend_alive();
            } else {
                shared.mark_backend_down();
            }
        });
    }
}
