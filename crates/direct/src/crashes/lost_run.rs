//! Runs whose backend server may have crashed.

use std::rc::Rc;

use clementine_decide::ids::{BackendId, Tick};
use clementine_decide::quarantine::Fingerprint;
use compact_str::CompactString;
use spdlog::info;

use super::evidence::has_crashed;
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

    /// Finds out whether the server has crashed.
    pub(crate) async fn check(self, shared: Rc<SharedState>) {
        if !has_crashed(&shared, &self.backend, self.lost_at).await {
            return;
        }
        shared.metrics.count_crash();
        info!(
            "crashes: request={} content={} backend={} crashed",
            self.request, self.content, self.backend
        );
    }
}
