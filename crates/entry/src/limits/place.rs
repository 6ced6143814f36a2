//! Requests that count towards the limits of their workspace.

use std::cell::RefCell;
use std::rc::Rc;

use clementine_decide::ids::WorkspaceId;
use clementine_decide::limits::WorkspaceLimiter;
use clementine_decide::outcome::ErrorKind;
use clementine_decide::shares::WorkspaceHash;
use clementine_objects::{Millis, Workspace, WorkspaceLimits};
use clementine_process::clock::Clock;
use spdlog::info;

use crate::callers::RequestError;
use crate::entry::Entry;

/// Minimum interval between log lines about refused requests.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Counts a request as in progress towards the limits of its workspace until dropped.
#[derive(Debug)]
pub(crate) struct LimitPlace {
    limiter: Rc<RefCell<WorkspaceLimiter>>,
    workspace: WorkspaceHash,
    clock: Clock,
}

impl Drop for LimitPlace {
    fn drop(&mut self) {
        self.limiter.borrow_mut().finish(self.workspace, self.clock.now());
    }
}

impl Entry {
    /// Starts a request if the limits of its workspace allow it; `None` if the workspace
    /// has no limits.
    pub(crate) fn check_limits(
        &self,
        workspace: &Workspace,
    ) -> Result<Option<Rc<LimitPlace>>, RequestError> {
        if workspace.limits == WorkspaceLimits::default() {
            return Ok(None);
        }
        let (hash, now) = (workspace_hash(workspace), self.clock.now());
        let started = self.limiter.borrow_mut().start(hash, &workspace.limits, now);
        let Err(refusal) = started else {
            self.limit_used.notify_one();
            let limiter = Rc::clone(&self.limiter);
            return Ok(Some(Rc::new(LimitPlace { limiter, workspace: hash, clock: self.clock })));
        };
        self.metrics.count_limit_refusal(&refusal.limit.to_string());
        if self.limits_log.admit(now, LOG_INTERVAL).is_some() {
            info!("limits: workspace={} refused limit={}", workspace.name, refusal.limit);
        }
        let message = format!("the workspace exceeds its limit `{}`", refusal.limit);
        let error = RequestError::new(ErrorKind::LimitReached, message);
        Err(error.with_retry_after(refusal.retry_after))
    }
}

fn workspace_hash(workspace: &Workspace) -> WorkspaceHash {
    WorkspaceHash::from(&WorkspaceId::from(workspace.name.as_str()))
}
