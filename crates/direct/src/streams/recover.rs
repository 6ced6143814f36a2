//! Recovery of an attempt that has a problem.

use std::cell::RefCell;

use clementine_decide::ids::BackendId;
use clementine_decide::quarantine::LossKind;
use clementine_decide::retry::AttemptEnd;

use super::progress::Progress;
use super::repath::repath;
use super::route::StreamRoute;
use super::supervise::Supervisor;
use super::watchdog::Problem;
use crate::crashes::Run;

/// What becomes of an attempt that has a problem.
pub(super) enum Recovery {
    /// It goes on, possibly by another path.
    Continue,
    /// An attempt with this route takes its place.
    Replace(Box<StreamRoute>),
    /// It is ended, and no other attempt is made.
    GiveUp,
}

impl Supervisor<'_> {
    /// Recovers an attempt from a problem. Moves the run to another path if
    /// possible; otherwise returns the route for another attempt, which replaces
    /// the current one. A silent attempt without an alternative continues, because
    /// silence alone is no reason to end it.
    pub(super) async fn recover(
        &mut self,
        route: &RefCell<StreamRoute>,
        progress: &Progress,
        problem: &Problem,
    ) -> Recovery {
        if let Problem::BackendDown(down) = problem {
            self.record_run_on_down_server(progress, down).await;
            if self.is_quarantined() {
                return Recovery::GiveUp;
            }
            if repath(self.shared, self.ctx, route, progress, down).await {
                self.stats.repaths += 1;
                self.shared.metrics.count_repath();
                return Recovery::Continue;
            }
            self.avoid(down);
        } else {
            route.borrow().backends().for_each(|id| self.avoid(id));
        }
        let end = end_of_attempt(progress, Some(problem));
        if !self.is_replacement_allowed(progress, end) {
            return Recovery::Continue;
        }
        if end.may_have_run() {
            self.record_executed_on(&route.borrow().first);
        }
        let next = self.choose_route_for(progress).filter(|next| differs(next, &route.borrow()));
        let earlier = self.stats.attempts.with(end);
        match next {
            Some(next) if self.take_from_budget(progress, earlier).is_some() => {
                Recovery::Replace(Box::new(next))
            }
            _ => Recovery::Continue,
        }
    }

    /// Records once in an attempt that a server was found down under the run. A run that
    /// made progress is not what brought the server down.
    async fn record_run_on_down_server(&mut self, progress: &Progress, down: &BackendId) {
        if progress.attempt_has_events() || self.lost_in_attempt.contains(down) {
            return;
        }
        self.lost_in_attempt.push(down.clone());
        if let Some(run) = Run::start(self.shared, self.ctx, down) {
            let run = run.with_begun(progress.attempt_has_begun());
            run.record_loss(self.shared, LossKind::BrokenOff).await;
        }
    }
}

/// What the attempt in progress counts as if it ends now, possibly for a problem.
pub(super) fn end_of_attempt(progress: &Progress, problem: Option<&Problem>) -> AttemptEnd {
    match problem {
        _ if !progress.attempt_is_sent() => AttemptEnd::NotSent,
        Some(Problem::BackendDown(_)) => AttemptEnd::LostToDownBackend,
        Some(Problem::Silent) | None => AttemptEnd::Executed,
    }
}

/// Whether two routes differ in the backend servers that they use.
fn differs(a: &StreamRoute, b: &StreamRoute) -> bool {
    a.first != b.first || a.path != b.path
}
