//! Runs whose backend server may have crashed.

use std::rc::Rc;

use clementine_decide::ids::{BackendId, Tick};
use clementine_decide::quarantine::Fingerprint;
use compact_str::CompactString;
use spdlog::info;
use tokio::task::spawn_local;

use super::evidence::check_crashed;
use super::quarantine::{announce, is_quarantined};
use super::saved::save;
use crate::shared::{RequestContext, SharedState};

/// A run that its backend server broke off.
#[derive(Debug)]
pub(crate) struct LostRun {
    request: CompactString,
    content: Fingerprint,
    backend: BackendId,
    lost_at: Tick,
}

impl LostRun {
    /// A run that was lost just now.
    pub(crate) fn new(shared: &SharedState, ctx: &RequestContext, backend: &BackendId) -> Self {
        Self {
            request: ctx.req.id.clone(),
            content: ctx.fingerprint,
            backend: backend.clone(),
            lost_at: shared.now(),
        }
    }

    /// Records the crash of the server if it has crashed. Waits for the check only
    /// if the outcome decides whether the request may be sent again.
    pub(crate) async fn record(self, shared: &Rc<SharedState>) {
        let decisive = shared.crash_log.borrow().is_near_quarantine(self.content, self.lost_at);
        let check = self.check(Rc::clone(shared));
        if decisive {
            check.await;
        } else {
            spawn_local(check);
        }
    }

    async fn check(self, shared: Rc<SharedState>) {
        if let Err(reason) = check_crashed(&shared, &self.backend, self.lost_at).await {
            return info!(
                "crashes: request={} content={} backend={} not counted reason={}",
                self.request,
                self.content,
                self.backend,
                reason.reason()
            );
        }
        let incarnation = shared.fleet.borrow().get(&self.backend).map(|member| member.incarnation);
        let Some(incarnation) = incarnation else { return };
        let was_quarantined = is_quarantined(&shared, self.content);
        let now = shared.now();
        shared.crash_log.borrow_mut().record_crash(self.content, incarnation, now);
        shared.metrics.count_crash();
        info!(
            "crashes: request={} content={} backend={} crashed",
            self.request, self.content, self.backend
        );
        if was_quarantined || !is_quarantined(&shared, self.content) {
            return;
        }
        let report = shared.crash_log.borrow().report_on(self.content, now);
        if let Some(report) = report {
            announce(&shared, &report, "observed");
            spawn_local(save(shared, report));
        }
    }
}
