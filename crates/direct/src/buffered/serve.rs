//! Sends a request to backend servers, one after another, until one responds.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use clementine_decide::ids::BackendId;
use clementine_decide::outcome::ErrorKind;
use clementine_decide::quarantine::LossKind;
use clementine_decide::retry::{AttemptCounts, AttemptEnd, AttemptLimits, RetryPriority};
use clementine_http1::ServerConn;
use clementine_objects::Millis;
use clementine_platform::requests::relayed_response;
use spdlog::info;
use tokio::time::Instant;

use super::attempt::{AttemptOutcome, BufferedResponse, send_request};
use crate::callers::{RequestError, send_error};
use crate::crashes::{
    Run, is_quarantined, late_quarantine_error, record_completion, record_response_begun,
};
use crate::shared::{
    PoolRun, RequestContext, Reservation, SharedState, promise_return, wait_for_capacity,
};

/// `Retry-After` of the error if no backend server accepted the request and nothing is
/// known of the capacity.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Timeout of an attempt at an idempotent request, as a multiple of the backend
/// server's average response time. When it expires, the request is sent to
/// another server.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;
/// Minimum timeout of an attempt at an idempotent request.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of retries after attempts in which the request was not
/// executed. They do not count towards the attempts that the route rule allows.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 3;

/// Response that is sent to the caller.
enum FinalResponse {
    Relayed(BufferedResponse),
    Error(RequestError),
}

/// Serves a request whose response is buffered.
pub(crate) async fn serve(
    conn: &mut ServerConn,
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
) -> io::Result<()> {
    let mut attempts = RequestAttempts {
        shared,
        ctx,
        counts: AttemptCounts::default(),
        running: None,
        tried: Vec::new(),
        last_error: None,
    };
    let result = tokio::select! {
        result = attempts.run() => result,
        () = conn.wait_closed() => {
            info!(
                "request: id={} route={} caller disconnected after_ms={}",
                ctx.req.id, ctx.rule.name, ctx.elapsed_ms()
            );
            attempts.record_abandoned_run();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    };
    let counts = attempts.counts;
    let closing = shared.drain.is_draining();
    match result {
        FinalResponse::Relayed(buffered) => {
            log_outcome(shared, ctx, buffered.response.head.status.as_u16(), "answered", counts);
            shared.metrics.record_buffered_response(ctx.arrived.elapsed());
            send_buffered(conn, &buffered, closing).await
        }
        FinalResponse::Error(error) => {
            log_outcome(shared, ctx, error.kind.response().status, error.kind.code(), counts);
            send_error(conn, &ctx.req.id, error, closing).await
        }
    }
}

/// Relays a buffered response to the caller with its length, also if it came without one:
/// a part of it must not look whole.
pub(crate) async fn send_buffered(
    conn: &mut ServerConn,
    buffered: &BufferedResponse,
    closing: bool,
) -> io::Result<()> {
    let mut res = relayed_response(&buffered.response.head);
    if closing {
        res.head_mut().set_connection_type(ConnectionType::Close);
    }
    conn.send(res, &buffered.body.bytes).await
}

fn log_outcome(
    shared: &SharedState,
    ctx: &RequestContext,
    status: u16,
    outcome: &'static str,
    counts: AttemptCounts,
) {
    shared.metrics.count_request(&ctx.rule.name, outcome);
    info!(
        "request: id={} route={} workspace={} pool={} status={} outcome={} runs={} \
         refused_sends={} after_ms={}",
        ctx.req.id,
        ctx.rule.name,
        ctx.workspace_name(),
        ctx.pool,
        status,
        outcome,
        counts.executed,
        counts.not_executed,
        ctx.elapsed_ms()
    );
}

/// All attempts at one request.
struct RequestAttempts<'a> {
    shared: &'a Rc<SharedState>,
    ctx: &'a RequestContext,
    /// Attempts that have ended.
    counts: AttemptCounts,
    /// The attempt in progress.
    running: Option<Run>,
    tried: Vec<BackendId>,
    /// Last server error that a backend server responded with.
    last_error: Option<BufferedResponse>,
}

impl RequestAttempts<'_> {
    async fn run(&mut self) -> FinalResponse {
        let mut chosen =
            wait_for_capacity(self.shared, self.ctx, None, || self.choose_backend()).await.ok();
        loop {
            let Some((id, address, latency_ms)) = chosen.take() else {
                return self.final_failure();
            };
            if let Some(response) = self.attempt(&id, address, latency_ms).await {
                return response;
            }
            self.tried.push(id);
            if self.ctx.time_left().is_zero() || !self.try_retry() {
                return self.final_failure();
            }
            chosen = self.choose_backend();
        }
    }

    /// Returns the backend server with the shortest expected response time that
    /// has not been tried, with its address and its average response time in ms.
    fn choose_backend(&self) -> Option<(BackendId, SocketAddr, f64)> {
        let fleet = self.shared.fleet.borrow();
        let mut rng = self.shared.rng.borrow_mut();
        let found =
            fleet.fastest(&self.ctx.pool, self.shared.now(), &self.tried, &[], &mut *rng)?;
        Some((found.backend.id.clone(), found.backend.address, found.latency_ms()))
    }

    /// Makes one attempt. Returns the response for the caller, or `None` if the
    /// attempt failed and a retry may help.
    async fn attempt(
        &mut self,
        id: &BackendId,
        address: SocketAddr,
        latency_ms: f64,
    ) -> Option<FinalResponse> {
        let started = Instant::now();
        self.shared.record_send(id);
        let _reservation = Reservation::new(self.shared, vec![id.clone()], 0.0);
        let mut pool_run = PoolRun::start(self.shared, &self.ctx.pool, 1);
        let deadline = self.attempt_deadline(latency_ms);
        self.running = Run::start(self.shared, self.ctx, id);
        let request_id = &self.ctx.req.id;
        let outcome = send_request(self.shared, self.ctx, id, address, deadline).await;
        let run = self.running.take();
        match outcome {
            AttemptOutcome::Response(buffered) => {
                self.counts.record(AttemptEnd::Executed);
                pool_run.set_served();
                self.record_response(id, started);
                let failed = buffered.response.head.status.is_server_error();
                if !failed {
                    record_response_begun(self.shared, self.ctx);
                    record_completion(self.shared, self.ctx);
                }
                if failed && self.ctx.rule.kind.is_repeatable() {
                    self.last_error = Some(buffered);
                    return None;
                }
                return Some(FinalResponse::Relayed(buffered));
            }
            AttemptOutcome::NotSent => {
                self.counts.record(AttemptEnd::NotSent);
                self.shared.record_failure(id, "no-connection", request_id);
            }
            AttemptOutcome::NotExecuted => {
                self.counts.record(AttemptEnd::NotExecuted);
                self.ctx.may_have_run.set(self.counts.executed > 0);
                self.shared.record_failure(id, "refused", request_id);
            }
            AttemptOutcome::ResponseLost(reason) => {
                self.counts.record(AttemptEnd::Executed);
                self.shared.record_failure(id, reason, request_id);
                self.record_loss(run, LossKind::BrokenOff).await;
            }
            AttemptOutcome::NoMemory => {
                self.counts.record(AttemptEnd::Executed);
                info!("request: id={} response not read, no memory", request_id);
            }
            AttemptOutcome::TimedOut => {
                self.counts.record(AttemptEnd::Executed);
                self.shared.record_failure(id, "no-answer-in-time", request_id);
                self.record_loss(run, LossKind::NoResponse).await;
            }
        }
        None
    }

    async fn record_loss(&self, run: Option<Run>, loss: LossKind) {
        if let Some(run) = run {
            run.record_loss(self.shared, loss).await;
        }
    }

    /// Records that the caller left while a run was in progress, whose server may have
    /// fallen silent.
    fn record_abandoned_run(&self) {
        if let Some(run) = &self.running
            && run.is_overdue(self.shared)
        {
            run.record_loss_later(self.shared, LossKind::NoResponse);
        }
    }

    fn record_response(&self, id: &BackendId, started: Instant) {
        let elapsed = started.elapsed();
        if let Some(member) = self.shared.fleet.borrow_mut().get_mut(id) {
            member.record_response(Millis::from(elapsed), self.shared.now());
        }
        self.shared.record_first_response(&self.ctx.pool, elapsed);
    }

    /// Deadline of the next attempt. An idempotent request that can still be sent
    /// to another server does not wait for a slow one.
    fn attempt_deadline(&self, latency_ms: f64) -> Instant {
        if !self.counts.allow_replacement(AttemptEnd::Executed, &self.limits()) {
            return self.ctx.deadline;
        }
        let timeout = Duration::from_secs_f64(latency_ms * ATTEMPT_TIMEOUT_FACTOR / 1_000.0);
        (Instant::now() + timeout.max(MIN_ATTEMPT_TIMEOUT)).min(self.ctx.deadline)
    }

    fn limits(&self) -> AttemptLimits {
        AttemptLimits {
            max_executed: self.ctx.rule.max_attempts,
            max_extra: 0,
            max_unexecuted: MAX_UNEXECUTED_ATTEMPTS,
            is_repeatable: self.ctx.rule.kind.is_repeatable(),
        }
    }

    /// Takes another attempt from the budget, unless the request has arrived nowhere yet.
    /// Returns `false` if the request must not be sent again or the budget is exhausted.
    fn try_retry(&self) -> bool {
        if !self.counts.allow_another(&self.limits())
            || is_quarantined(self.shared, &self.ctx.suspects)
        {
            return false;
        }
        self.shared.take_retry(self.ctx, self.counts, RetryPriority::High).is_some()
    }

    /// The response to the caller if no further attempt is made: the last server
    /// error, or else an error of the entry itself.
    fn final_failure(&mut self) -> FinalResponse {
        if let Some(buffered) = self.last_error.take() {
            return FinalResponse::Relayed(buffered);
        }
        if self.counts.executed == 0 {
            if let Some(error) = late_quarantine_error(self.shared, self.ctx) {
                return FinalResponse::Error(error);
            }
            let pause = self.shared.pool_retry_delay(&self.ctx.pool).unwrap_or_default();
            let delay = promise_return(self.shared, self.ctx).unwrap_or(OVERLOADED_RETRY_AFTER);
            return FinalResponse::Error(RequestError::with_retry_after(
                ErrorKind::Overloaded,
                pause.max(delay),
            ));
        }
        let timed_out = self.ctx.time_left().is_zero();
        let kind = if timed_out { ErrorKind::DeadlineWhileRunning } else { ErrorKind::BackendLost };
        FinalResponse::Error(RequestError::new(kind))
    }
}
