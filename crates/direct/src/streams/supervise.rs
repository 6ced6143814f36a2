//! Keeps a stream running across failures of backend servers.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::BackendId;
use clementine_decide::outcome::ErrorKind;
use clementine_decide::retry::{AttemptCounts, AttemptEnd, AttemptLimits, RetryPriority};
use clementine_decide::routing::RequestKind;
use clementine_http1::ServerConn;
use spdlog::info;
use tokio::time::{Instant, sleep};

use super::progress::Progress;
use super::recover::{Recovery, end_of_attempt};
use super::relay::Attempt;
use super::route::{RouteRequirements, StreamRoute, format_path};
use super::watchdog::wait_for_problem;
use crate::buffered::BufferedResponse;
use crate::callers::RequestError;
use crate::crashes::{Run, is_quarantined, late_quarantine_error};
use crate::shared::{
    PoolRun, RequestContext, RetryGrant, SharedState, promise_return, wait_for_capacity,
};

/// Silence after which a stream is no longer resumed, because callers give up on
/// it.
const MAX_RESUMABLE_SILENCE: Duration = Duration::from_secs(2);
/// Maximum number of retries after attempts in which the request was not executed. They
/// do not count towards the attempts that the route rule allows.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 4;
/// Like [`MAX_UNEXECUTED_ATTEMPTS`], for a stream that the caller is already receiving.
const MAX_UNEXECUTED_RESUMES: u32 = 12;
/// Maximum number of attempts beyond those that the route rule allows, one for each
/// attempt that ended because a backend server went down.
const MAX_EXTRA_ATTEMPTS: u32 = 2;
/// Interval between tries to recover a stream that has no retry budget, or an attempt
/// that has a problem and no other route.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(150);

/// Outcome of a stream for the caller.
pub(super) enum StreamOutcome {
    Complete,
    CallerLeft,
    /// The request is refused; nothing has been sent to the caller yet.
    Refused(RequestError),
    /// A backend server's error response is relayed; nothing has been sent to the
    /// caller yet.
    ErrorResponse(BufferedResponse),
    /// The stream ends early, after the caller has received its headers. Contains
    /// the reason for the log.
    Truncated(&'static str),
}

/// Statistics of a stream for the log and for the retry limits.
#[derive(Debug, Default)]
pub(super) struct StreamStats {
    pub(super) attempts: AttemptCounts,
    /// Path changes within an attempt.
    pub(super) repaths: u32,
    /// Number of engines in the last attempt's path.
    pub(super) stages: usize,
    /// Hops between failure domains in the last attempt's path.
    pub(super) domain_crossings: usize,
}

/// Next step after an attempt.
pub(super) enum NextStep {
    /// Make another attempt for the given reason. The route is `None` if it has
    /// not been chosen yet.
    Retry(&'static str, Option<StreamRoute>),
    Finish(StreamOutcome),
}

/// Makes attempts at a stream until it is complete or has to be given up.
pub(super) struct Supervisor<'a> {
    pub(super) shared: &'a Rc<SharedState>,
    pub(super) ctx: &'a RequestContext,
    pub(super) progress: Progress,
    pub(super) stats: StreamStats,
    /// Backend servers to which the request was sent and which may have executed
    /// it.
    executed_on: Vec<BackendId>,
    /// Backend servers to avoid in further attempts.
    pub(super) avoid: Vec<BackendId>,
    /// Backend servers that were found down under the run of the attempt in progress.
    pub(super) lost_in_attempt: Vec<BackendId>,
    /// Last error response of a backend server.
    pub(super) last_error: Option<BufferedResponse>,
    /// Permission for the next attempt, which may wait for capacity.
    granted: Option<RetryGrant>,
}

impl<'a> Supervisor<'a> {
    pub(super) fn new(shared: &'a Rc<SharedState>, ctx: &'a RequestContext) -> Self {
        Self {
            shared,
            ctx,
            progress: Progress::new(ctx.req.last_event_id),
            stats: StreamStats::default(),
            executed_on: Vec::new(),
            avoid: Vec::new(),
            lost_in_attempt: Vec::new(),
            last_error: None,
            granted: None,
        }
    }

    /// Serves the stream until it ends.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to the caller's connection fails.
    pub(super) async fn run(&mut self, conn: &mut ServerConn) -> io::Result<StreamOutcome> {
        let mut chosen = match self.first_route(conn).await {
            Ok(route) => Some(route),
            Err(outcome) => return Ok(outcome),
        };
        loop {
            let route = match chosen.take() {
                Some(route) => route,
                None => match self.next_route(conn).await {
                    Ok(route) => route,
                    Err(outcome) => return Ok(outcome),
                },
            };
            let (reason, next) = match self.attempt(conn, route).await? {
                NextStep::Finish(outcome) => return Ok(outcome),
                NextStep::Retry(reason, next) => (reason, next),
            };
            while next.is_none() && !self.try_retry() {
                if let Some(outcome) = self.wait_before_resume(conn, reason).await {
                    return Ok(outcome);
                }
            }
            chosen = next;
        }
    }

    /// Chooses the route of the first attempt. Waits for capacity if there is none.
    /// Returns the outcome if the request is refused.
    async fn first_route(&mut self, conn: &mut ServerConn) -> Result<StreamRoute, StreamOutcome> {
        let found = tokio::select! {
            biased;
            found = wait_for_capacity(self.shared, self.ctx, None, || self.choose_route()) => found,
            () = conn.wait_closed() => return Err(StreamOutcome::CallerLeft),
        };
        self.shared.refusal_rate.borrow_mut().record(found.is_ok(), self.shared.now());
        found.map_err(|_| self.give_up("no-path"))
    }

    /// Chooses the route of another attempt. A stream that the caller is already
    /// receiving waits for capacity if there is none. Returns the outcome if waiting
    /// is pointless.
    async fn next_route(&mut self, conn: &mut ServerConn) -> Result<StreamRoute, StreamOutcome> {
        if let Some(route) = self.choose_route() {
            return Ok(route);
        }
        if !self.can_wait_to_resume() {
            return Err(self.give_up("no-path"));
        }
        let until = self.progress.last_activity() + MAX_RESUMABLE_SILENCE;
        let find = || if self.is_quarantined() { None } else { self.choose_route() };
        let found = tokio::select! {
            biased;
            found = wait_for_capacity(self.shared, self.ctx, Some(until), find) => found,
            () = conn.wait_closed() => return Err(StreamOutcome::CallerLeft),
        };
        found.map_err(|_| self.give_up("no-path"))
    }

    /// Retry delay to send with an error response for lack of capacity.
    fn retry_after(&self) -> Duration {
        let pause = self.shared.pool_retry_delay(&self.ctx.pool).unwrap_or_default();
        let delay = promise_return(self.shared, self.ctx).unwrap_or_else(|| {
            let refusal_rate = self.shared.refusal_rate.borrow();
            refusal_rate.retry_after(&mut *self.shared.rng.borrow_mut()).duration()
        });
        delay.max(pause)
    }

    /// Waits for a short time before the next try to resume a stream that the
    /// caller is already receiving. Returns the outcome if waiting is pointless.
    async fn wait_before_resume(
        &mut self,
        conn: &mut ServerConn,
        reason: &'static str,
    ) -> Option<StreamOutcome> {
        if !self.can_wait_to_resume() {
            return Some(self.give_up(reason));
        }
        tokio::select! {
            () = conn.wait_closed() => Some(StreamOutcome::CallerLeft),
            () = sleep(RECOVERY_INTERVAL) => None,
        }
    }

    /// Whether the caller is already receiving the stream and waits for its next
    /// event.
    fn can_wait_to_resume(&self) -> bool {
        self.progress.headers_sent()
            && self.progress.last_activity().elapsed() < MAX_RESUMABLE_SILENCE
            && self.is_resumable()
            && !self.is_quarantined()
            && !self.ctx.time_left().is_zero()
    }

    /// Makes one attempt and recovers it from problems while it runs.
    async fn attempt(&mut self, conn: &mut ServerConn, route: StreamRoute) -> io::Result<NextStep> {
        (self.stats.stages, self.stats.domain_crossings) =
            (route.path.len(), route.domain_crossings);
        self.progress.begin_attempt();
        self.lost_in_attempt.clear();
        if let Some(grant) = self.granted.take() {
            self.shared.record_retry_sent(self.ctx, grant);
        }
        self.shared.record_send(&route.first);
        let run = Run::start(self.shared, self.ctx, &route.first);
        let mut pool_run = PoolRun::start(self.shared, &self.ctx.pool, route.path.len());
        let route = RefCell::new(route);
        let (shared, ctx) = (self.shared, self.ctx);
        // Moved out of `self` because the attempt uses it while `recover` borrows
        // `self` mutably.
        let progress = std::mem::replace(&mut self.progress, Progress::new(None));
        let result = {
            let attempt = Attempt { shared, ctx, progress: &progress, route: &route };
            let mut running = std::pin::pin!(attempt.run(conn));
            let mut not_before = Instant::now();
            loop {
                let problem = tokio::select! {
                    outcome = &mut running => break Ok(outcome?),
                    problem = wait_for_problem(shared, ctx, &route, &progress, not_before) => problem,
                };
                let recovery = tokio::select! {
                    outcome = &mut running => break Ok(outcome?),
                    recovery = self.recover(&route, &progress, &problem) => recovery,
                };
                match recovery {
                    Recovery::Continue => not_before = Instant::now() + RECOVERY_INTERVAL,
                    Recovery::Replace(next) => break Err((problem, Some(*next))),
                    Recovery::GiveUp => break Err((problem, None)),
                }
            }
        };
        self.progress = progress;
        if self.progress.attempt_has_events() {
            pool_run.set_served();
        }
        drop(pool_run);
        let route = route.into_inner();
        let next = match result {
            Ok(outcome) => self.next_step(&route, run, outcome).await,
            Err((problem, replacement)) => {
                self.record_end(&route.first, end_of_attempt(&self.progress, Some(&problem)));
                match replacement {
                    Some(next) => NextStep::Retry(problem.reason(), Some(next)),
                    None => NextStep::Finish(self.give_up("quarantined")),
                }
            }
        };
        self.log_retry(&route, &next);
        Ok(next)
    }

    pub(super) fn is_quarantined(&self) -> bool {
        is_quarantined(self.shared, &self.ctx.suspects)
    }

    pub(super) fn record_executed_on(&mut self, id: &BackendId) {
        if !self.executed_on.contains(id) {
            self.executed_on.push(id.clone());
        }
    }

    /// Records the end of an attempt that began at `first`.
    pub(super) fn record_end(&mut self, first: &BackendId, end: AttemptEnd) {
        self.stats.attempts.record(end);
        if end.may_have_run() {
            self.record_executed_on(first);
        }
    }

    /// Avoids a backend server in further attempts.
    pub(super) fn avoid(&mut self, id: &BackendId) {
        if !self.avoid.contains(id) {
            self.avoid.push(id.clone());
        }
    }

    fn choose_route(&self) -> Option<StreamRoute> {
        self.choose_route_for(&self.progress)
    }

    /// Chooses the route of the next attempt. Once the request may have been
    /// executed on as many backend servers as the route rule allows, only those
    /// are eligible as the first one.
    pub(super) fn choose_route_for(&self, progress: &Progress) -> Option<StreamRoute> {
        let fleet = self.shared.fleet.borrow();
        // A server that does not send its report may just be slow, so it still
        // counts.
        let counts = |id: &&BackendId| fleet.may_still_run(id);
        let executed_on: Vec<BackendId> = self.executed_on.iter().filter(counts).cloned().collect();
        drop(fleet);
        let limit_reached = executed_on.len() >= self.ctx.rule.max_attempts as usize;
        let allowed_first = if limit_reached { executed_on } else { Vec::new() };
        let requirements = RouteRequirements {
            events_sent: progress.events_sent(),
            avoid: &self.avoid,
            allowed_first: &allowed_first,
        };
        StreamRoute::choose(self.shared, self.ctx, requirements)
    }

    fn attempt_limits(&self, progress: &Progress) -> AttemptLimits {
        let is_receiving = progress.headers_sent();
        AttemptLimits {
            max_executed: self.ctx.rule.max_attempts,
            max_extra: MAX_EXTRA_ATTEMPTS,
            max_unexecuted: if is_receiving {
                MAX_UNEXECUTED_RESUMES
            } else {
                MAX_UNEXECUTED_ATTEMPTS
            },
            is_repeatable: self.is_resumable(),
        }
    }

    /// Whether the limits on attempts allow another one in place of the one in progress,
    /// which counts as `current`.
    pub(super) fn is_replacement_allowed(&self, progress: &Progress, current: AttemptEnd) -> bool {
        let limits = self.attempt_limits(progress);
        !self.is_quarantined() && self.stats.attempts.allow_replacement(current, &limits)
    }

    /// Whether the limits on attempts allow another one after the last one has ended.
    fn is_retry_allowed(&self) -> bool {
        let limits = self.attempt_limits(&self.progress);
        !self.is_quarantined() && self.stats.attempts.allow_another(&limits)
    }

    fn is_resumable(&self) -> bool {
        self.ctx.rule.kind == RequestKind::Stream { resumable: true }
    }

    /// Takes a retry from the budget. Returns `false` if the limits on attempts or
    /// the budget do not allow it.
    fn try_retry(&mut self) -> bool {
        if self.is_retry_allowed() {
            self.granted = self.take_from_budget(&self.progress, self.stats.attempts);
        }
        self.granted.is_some()
    }

    /// Takes another attempt from the budget, unless the request has arrived nowhere in
    /// the earlier ones. Returns `None` if the budget does not allow it.
    pub(super) fn take_from_budget(
        &self,
        progress: &Progress,
        earlier: AttemptCounts,
    ) -> Option<RetryGrant> {
        let priority =
            if progress.headers_sent() { RetryPriority::High } else { RetryPriority::Low };
        self.shared.take_retry(self.ctx, earlier, priority)
    }

    /// The outcome if no further attempt is made.
    pub(super) fn give_up(&mut self, reason: &'static str) -> StreamOutcome {
        if self.progress.headers_sent() {
            return StreamOutcome::Truncated(reason);
        }
        if let Some(error) = self.last_error.take() {
            return StreamOutcome::ErrorResponse(error);
        }
        if self.stats.attempts.executed == 0 {
            if let Some(error) = late_quarantine_error(self.shared, self.ctx) {
                return StreamOutcome::Refused(error);
            }
            return StreamOutcome::Refused(RequestError::with_retry_after(
                ErrorKind::Overloaded,
                self.retry_after(),
            ));
        }
        let timed_out = self.ctx.time_left().is_zero();
        let kind = if timed_out { ErrorKind::DeadlineWhileRunning } else { ErrorKind::BackendLost };
        StreamOutcome::Refused(RequestError::new(kind))
    }

    fn log_retry(&self, route: &StreamRoute, next: &NextStep) {
        let NextStep::Retry(reason, _) = next else { return };
        self.shared.metrics.count_retry(reason);
        info!(
            "stream: id={} run={} ended reason={} events={} path={}",
            self.ctx.req.id,
            self.stats.attempts.executed,
            reason,
            self.progress.events_sent(),
            format_path(&route.path, self.shared)
        );
    }
}
