//! What follows an attempt that has ended, and what it says about its backend server.

use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::ids::BackendId;
use clementine_decide::quarantine::LossKind;
use clementine_decide::retry::AttemptEnd;
use tokio::task::spawn_local;

use super::recover::end_of_attempt;
use super::relay::AttemptOutcome;
use super::route::StreamRoute;
use super::supervise::{NextStep, StreamOutcome, Supervisor};
use crate::crashes::{Run, record_completion};
use crate::engines::check_backend;

impl Supervisor<'_> {
    /// Decides what follows an attempt that has ended.
    pub(super) async fn next_step(
        &mut self,
        route: &StreamRoute,
        run: Option<Run>,
        outcome: AttemptOutcome,
    ) -> NextStep {
        match outcome {
            AttemptOutcome::Complete => {
                self.record_end(&route.first, AttemptEnd::Executed);
                record_completion(self.shared, self.ctx);
                NextStep::Finish(StreamOutcome::Complete)
            }
            AttemptOutcome::CallerLeft => {
                self.record_silent_run(run.filter(|run| run.is_overdue(self.shared)));
                NextStep::Finish(StreamOutcome::CallerLeft)
            }
            AttemptOutcome::DeadlinePassed => {
                self.record_end(&route.first, end_of_attempt(&self.progress, None));
                self.record_silent_run(run);
                NextStep::Finish(self.give_up("out-of-time"))
            }
            AttemptOutcome::ErrorResponse(error) => {
                self.record_end(&route.first, AttemptEnd::Executed);
                if !self.progress.headers_sent() {
                    self.last_error = Some(error);
                }
                NextStep::Retry("failed", None)
            }
            AttemptOutcome::NotSent => {
                self.after_unexecuted(&route.first, AttemptEnd::NotSent, "no-connection")
            }
            AttemptOutcome::NotExecuted(failed_engine) => {
                let id = self.backend_at(failed_engine).unwrap_or_else(|| route.first.clone());
                self.after_unexecuted(&id, AttemptEnd::NotExecuted, "refused")
            }
            AttemptOutcome::Interrupted(reason) => {
                self.record_backend_failure(&route.first, reason);
                let end = match run {
                    Some(run) => self.record_lost_run(run).await,
                    None => AttemptEnd::Executed,
                };
                self.record_end(&route.first, end);
                NextStep::Retry(reason, None)
            }
        }
    }

    /// Records a run that broke off. One that made progress is not what brought the
    /// server down. Returns what the attempt counts as.
    async fn record_lost_run(&self, run: Run) -> AttemptEnd {
        if self.progress.attempt_has_events() {
            let has_ended = run.server_refuses_connections(self.shared).await;
            return if has_ended { AttemptEnd::LostToDownBackend } else { AttemptEnd::Executed };
        }
        let run = run.with_begun(self.progress.attempt_has_begun());
        run.record_loss(self.shared, LossKind::BrokenOff).await;
        AttemptEnd::Executed
    }

    /// Records a run that has ended without an event, because its server may have
    /// fallen silent.
    fn record_silent_run(&self, run: Option<Run>) {
        if let Some(run) = run
            && !self.progress.attempt_has_events()
        {
            let run = run.with_begun(self.progress.attempt_has_begun());
            run.record_loss_later(self.shared, LossKind::NoResponse);
        }
    }

    fn after_unexecuted(
        &mut self,
        failed: &BackendId,
        end: AttemptEnd,
        reason: &'static str,
    ) -> NextStep {
        self.stats.attempts.record(end);
        self.ctx.may_have_run.set(self.stats.attempts.executed > 0);
        self.record_backend_failure(failed, reason);
        NextStep::Retry(reason, None)
    }

    fn backend_at(&self, address: Option<SocketAddr>) -> Option<BackendId> {
        self.shared.fleet.borrow().by_address(address?).cloned()
    }

    /// Starts the backoff of a backend server, avoids it in further attempts, and
    /// starts a check if it is an engine.
    fn record_backend_failure(&mut self, id: &BackendId, reason: &str) {
        self.shared.record_failure(id, reason, &self.ctx.req.id);
        self.avoid(id);
        if self.shared.has_layers(id) {
            spawn_local(check_backend(Rc::clone(self.shared), id.clone()));
        }
    }
}
