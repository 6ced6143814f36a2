//! Runs of requests on backend servers, which may crash under them.

use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::fleet::{BackendIncarnation, ProbeResult};
use clementine_decide::ids::{BackendId, Tick};
use clementine_decide::quarantine::{CrashEvidence, LossKind, LossVerdict, RunSuspects};
use clementine_objects::Millis;
use compact_str::CompactString;
use spdlog::info;
use tokio::task::spawn_local;

use super::evidence::{judge, probe};
use super::quarantine::tell_changes;
use super::watch::watch_lost;
use crate::shared::{RequestContext, SharedState};

/// Time without a response after which a run that its caller abandons is checked.
const OVERDUE_TIME: Millis = Millis(350);

/// A run of a request on a backend server, from the moment at which it is sent.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(super) request: CompactString,
    /// What may be the cause if the server crashes.
    pub(super) suspects: RunSuspects,
    pub(super) backend: BackendId,
    pub(super) address: SocketAddr,
    /// The start of the server to which the request was sent. Another process may
    /// take its place under the same id.
    pub(super) server: BackendIncarnation,
    pub(super) sent_at: Tick,
}

impl Run {
    /// A run that begins now, or `None` if the server is not listed.
    pub(crate) fn start(
        shared: &SharedState,
        ctx: &RequestContext,
        backend: &BackendId,
    ) -> Option<Self> {
        let fleet = shared.fleet.borrow();
        let member = fleet.get(backend)?;
        Some(Self {
            request: ctx.req.id.clone(),
            suspects: ctx.suspects.clone(),
            backend: backend.clone(),
            address: member.backend.address,
            server: member.incarnation,
            sent_at: shared.now(),
        })
    }

    /// Records whether the head of the response has been received.
    #[must_use]
    pub(crate) fn with_begun(self, begun: bool) -> Self {
        Self { suspects: self.suspects.with_begun(begun), ..self }
    }

    /// Whether the server has had ample time to respond.
    pub(crate) fn is_overdue(&self, shared: &SharedState) -> bool {
        shared.now().since(self.sent_at) >= OVERDUE_TIME
    }

    /// Records the crash of the server if that is why the run was lost. Waits for the
    /// check only if the outcome decides whether the request may be sent again.
    pub(crate) async fn record_loss(&self, shared: &Rc<SharedState>, loss: LossKind) {
        let decisive = shared.crash_log.borrow().is_near_quarantine(&self.suspects, shared.now());
        let check = self.clone().check(Rc::clone(shared), loss);
        if decisive {
            check.await;
        } else {
            spawn_local(check);
        }
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
            LossVerdict::Crashed(evidence) => self.record_crash(&shared, evidence),
            LossVerdict::NotCrashed | LossVerdict::Undecided => info!(
                "crashes: request={} {} backend={} not counted verdict={:?}",
                self.request, self.suspects, self.backend, verdict
            ),
        }
        spawn_local(watch_lost(shared, self, loss, verdict, lost_at));
    }

    /// Records that the server crashed, or may have.
    pub(super) fn record_crash(&self, shared: &Rc<SharedState>, evidence: CrashEvidence) {
        let now = shared.now();
        let recorded =
            shared.crash_log.borrow_mut().record_crash(&self.suspects, self.server, evidence, now);
        if !recorded.is_new {
            return;
        }
        shared.metrics.count_crash();
        info!(
            "crashes: request={} {} backend={} crashed evidence={:?}",
            self.request, self.suspects, self.backend, evidence
        );
        tell_changes(shared, &recorded.changes);
    }
}
