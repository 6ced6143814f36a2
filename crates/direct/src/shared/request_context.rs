//! A caller's request with the routing decisions made for it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::{BackendId, PoolId, WorkspaceId};
use clementine_decide::paths::PathStage;
use clementine_decide::prefixes::PromptPrefix;
use clementine_decide::quarantine::RunSuspects;
use clementine_decide::routing::{RouteRule, WorkspaceRule};
use clementine_decide::shares::{ShareKey, WorkCost, WorkspaceHash};
use clementine_objects::Millis;
use clementine_platform::requests::{CallerRequest, ForwardParams};
use tokio::time::Instant;

/// Lowest priority; larger numbers are less urgent.
const LOWEST_PRIORITY: u8 = 9;

/// A caller's request with its route, pool and deadline.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) req: CallerRequest,
    pub(crate) rule: Rc<RouteRule>,
    pub(crate) workspace: Option<Rc<WorkspaceRule>>,
    pub(crate) pool: PoolId,
    /// What the request costs the pool.
    pub(crate) cost: WorkCost,
    /// What may be the cause if a backend server crashes while it runs the request.
    pub(crate) suspects: RunSuspects,
    /// Leading parts of the prompt that engines may hold; empty if affinity doesn't
    /// apply.
    pub(crate) prefix: Rc<PromptPrefix>,
    pub(crate) arrived: Instant,
    /// The caller's deadline or the end of the route's timeout, whichever is
    /// earlier.
    pub(crate) deadline: Instant,
    /// Whether the request may have been executed, in any attempt so far.
    pub(crate) may_have_run: Cell<bool>,
}

impl RequestContext {
    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time since the request arrived, in ms.
    pub(crate) fn elapsed_ms(&self) -> u128 {
        self.arrived.elapsed().as_millis()
    }

    /// Values for the headers that are set when the request is forwarded.
    pub(crate) fn forward_params<'a>(
        &'a self,
        backend: &'a BackendId,
        path: &'a [PathStage],
        last_event_id: Option<u64>,
    ) -> ForwardParams<'a> {
        ForwardParams {
            backend,
            time_left: Millis::from(self.time_left()),
            workspace: self.workspace_id(),
            priority: Some(self.priority()),
            path,
            last_event_id,
        }
    }

    /// Priority from 0 (highest) to 9. The workspace's priority overrides the
    /// route's.
    pub(crate) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        workspace.unwrap_or(self.rule.priority).min(LOWEST_PRIORITY)
    }

    /// Name of the workspace in the log.
    pub(crate) fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("-", |workspace| workspace.id.as_str())
    }

    /// The share of the pool's capacity that the request uses.
    pub(crate) fn share_key(&self) -> ShareKey {
        let workspace = WorkspaceHash::from(self.workspace_id());
        ShareKey { pool: (&self.pool).into(), workspace }
    }

    fn workspace_id(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref().map(|workspace| &workspace.id)
    }
}
