//! Runs that were lost: finds out whether the backend server crashed under them.

use std::rc::Rc;

use clementine_decide::fleet::ProbeResult;
use clementine_decide::quarantine::{LossKind, LossVerdict};
use spdlog::info;
use tokio::task::spawn_local;

use super::evidence::{judge, probe};
use super::quarantine::record_crash;
use super::run::Run;
use super::watch::watch_lost;
use crate::shared::SharedState;

impl Run {
    /// Records the crash of the server if that is why the run was lost. Waits for the
    /// check only if the outcome decides whether the request may be sent again.
    pub(crate) async fn record_loss(&self, shared: &Rc<SharedState>, loss: LossKind) {
        let check = self.clone().check(Rc::clone(shared), loss);
        if self.is_decisive(shared) {
            check.await;
        } else {
            spawn_local(check);
        }
    }

    /// Whether the request is not sent again if the server has crashed.
    fn is_decisive(&self, shared: &SharedState) -> bool {
        let crash_log = shared.crash_log.borrow();
        crash_log.is_near_quarantine(&self.suspects, self.server, shared.now())
    }

    /// Like [`Self::record_loss`], without waiting.
    pub(crate) fn record_loss_later(&self, shared: &Rc<SharedState>, loss: LossKind) {
        spawn_local(self.clone().check(Rc::clone(shared), loss));
    }

    /// Whether no process listens on the server's address any more.
    pub(crate) async fn server_refuses_connections(&self, shared: &SharedState) -> bool {
        probe(shared, self, shared.now()).await == ProbeResult::Refused
    }

    async fn check(self, shared: Rc<SharedState>, loss: LossKind) {
        let lost_at = shared.now();
        let verdict = judge(&shared, &self, loss, lost_at).await;
        match verdict {
            LossVerdict::Crashed(evidence) => record_crash(&shared, &self, evidence),
            LossVerdict::NotCrashed | LossVerdict::Undecided => info!(
                "crashes: request={} {} backend={} not counted verdict={:?}",
                self.request, self.suspects, self.backend, verdict
            ),
        }
        spawn_local(watch_lost(shared, self, loss, verdict, lost_at));
    }
}
