//! Runs of requests on backend servers, which may crash under them.

use std::net::SocketAddr;

use clementine_decide::fleet::BackendIncarnation;
use clementine_decide::ids::{BackendId, Tick};
use clementine_decide::quarantine::RunSuspects;
use clementine_objects::Millis;
use compact_str::CompactString;

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
}
