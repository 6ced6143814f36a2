//! Sends a request to one backend server after another until one answers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use clementine_decide::ids::BackendId;
use clementine_decide::outcome::ErrorKind;
use clementine_http1::ServerConn;
use clementine_objects::Millis;
use clementine_platform::requests::relayed_response;
use spdlog::info;
use tokio::time::Instant;

use super::attempt::{Attempt, BufferedResponse, attempt};
use crate::callers::{Refusal, refuse};
use crate::hub::{Hub, RequestContext, Reservation, RetryPriority};

/// When to come back where no backend server could take the request.
const COME_BACK: Duration = Duration::from_millis(400);
/// Multiple of the usual answer time after which an idempotent request is
/// sent elsewhere.
const SLOW_FACTOR: f64 = 4.0;
/// Shortest time after which an idempotent request is sent elsewhere.
const SLOW_AT_LEAST: Duration = Duration::from_millis(200);
/// Sends that a backend server refused or that failed before anything was
/// sent, beside the attempts that the route allows.
const REFUSED_SENDS: u32 = 3;

/// What the caller is told.
enum End {
    Answer(BufferedResponse),
    Refusal(Refusal),
}

/// Serves a request whose answer is read whole.
pub(crate) async fn serve(
    conn: &mut ServerConn,
    hub: &Rc<Hub>,
    ctx: &RequestContext,
) -> io::Result<()> {
    let mut run = Run { hub, ctx, runs: 0, refused: 0, tried: Vec::new(), last: None };
    let end = tokio::select! {
        end = run.finish() => end,
        () = conn.left() => {
            info!("request: id={} route={} caller left after_ms={}", ctx.req.id, ctx.rule.name, ctx.elapsed_ms());
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    };
    let (runs, refused) = (run.runs, run.refused);
    let closing = hub.drain.is_draining();
    match end {
        End::Answer(whole) => {
            log_end(hub, ctx, whole.answer.head.status.as_u16(), "answered", runs, refused);
            hub.metrics.record_whole(ctx.arrived.elapsed());
            send_buffered(conn, &whole, closing).await
        }
        End::Refusal(refusal) => {
            log_end(hub, ctx, refusal.kind.response().status, refusal.kind.code(), runs, refused);
            refuse(conn, &ctx.req.id, refusal, closing).await
        }
    }
}

/// Passes a whole answer on, framed as it came.
pub(crate) async fn send_buffered(
    conn: &mut ServerConn,
    whole: &BufferedResponse,
    closing: bool,
) -> io::Result<()> {
    let mut res = relayed_response(&whole.answer.head);
    if whole.unframed {
        return conn.send_unframed(res, &whole.body).await;
    }
    if closing {
        res.head_mut().set_connection_type(ConnectionType::Close);
    }
    conn.send(res, &whole.body).await
}

fn log_end(
    hub: &Hub,
    ctx: &RequestContext,
    status: u16,
    outcome: &'static str,
    runs: u32,
    refused: u32,
) {
    hub.metrics.count_request(&ctx.rule.name, outcome);
    info!(
        "request: id={} route={} pool={} status={} outcome={} runs={} refused_sends={} after_ms={}",
        ctx.req.id,
        ctx.rule.name,
        ctx.pool,
        status,
        outcome,
        runs,
        refused,
        ctx.elapsed_ms()
    );
}

/// The attempts at one request.
struct Run<'a> {
    hub: &'a Rc<Hub>,
    ctx: &'a RequestContext,
    /// Attempts after which the request may have run.
    runs: u32,
    /// Attempts after which it surely has not.
    refused: u32,
    tried: Vec<BackendId>,
    /// Last failure that a backend server answered with.
    last: Option<BufferedResponse>,
}

impl Run<'_> {
    async fn finish(&mut self) -> End {
        loop {
            let Some((id, address, usual_ms)) = self.choose() else {
                return self.give_up();
            };
            if let Some(end) = self.attempt(&id, address, usual_ms).await {
                return end;
            }
            self.tried.push(id);
            if self.ctx.remaining_time().is_zero() || !self.may_send_again() {
                return self.give_up();
            }
        }
    }

    fn choose(&self) -> Option<(BackendId, SocketAddr, f64)> {
        let fleet = self.hub.fleet.borrow();
        let mut rng = self.hub.rng.borrow_mut();
        let found = fleet.fastest(&self.ctx.pool, self.hub.now(), &self.tried, &mut *rng)?;
        Some((found.backend.id.clone(), found.backend.address, found.latency_ms()))
    }

    /// Makes one attempt; gives the end of the request, if it is one.
    async fn attempt(&mut self, id: &BackendId, address: SocketAddr, usual_ms: f64) -> Option<End> {
        let started = Instant::now();
        let _reservation = Reservation::new(self.hub, vec![id.clone()], 0.0);
        let limit = self.limit(usual_ms);
        let request = &self.ctx.req.id;
        match attempt(self.hub, self.ctx, id, address, limit).await {
            Attempt::Answered(whole) => {
                self.runs += 1;
                self.note_answer(id, started);
                let failed = whole.answer.head.status.is_server_error();
                if failed && self.ctx.rule.kind.is_repeatable() {
                    self.last = Some(whole);
                    return None;
                }
                return Some(End::Answer(whole));
            }
            Attempt::NotSent => {
                self.refused += 1;
                self.hub.record_failure(id, "no-connection", request);
            }
            Attempt::NotRun => {
                self.refused += 1;
                self.hub.record_failure(id, "refused", request);
            }
            Attempt::Lost(reason) => {
                self.runs += 1;
                self.hub.record_failure(id, reason, request);
            }
            Attempt::TimedOut => {
                self.runs += 1;
                self.hub.record_failure(id, "no-answer-in-time", request);
            }
        }
        None
    }

    fn note_answer(&self, id: &BackendId, started: Instant) {
        if let Some(member) = self.hub.fleet.borrow_mut().get_mut(id) {
            member.record_response(Millis::from(started.elapsed()), self.hub.now());
        }
    }

    /// When to stop waiting for an answer: an idempotent request that may be
    /// sent elsewhere does not wait for a slow backend server.
    fn limit(&self, usual_ms: f64) -> Instant {
        let rule = &self.ctx.rule;
        if !rule.kind.is_repeatable() || self.runs + 1 >= rule.max_attempts {
            return self.ctx.deadline;
        }
        let slow = Duration::from_secs_f64(usual_ms * SLOW_FACTOR / 1_000.0);
        (Instant::now() + slow.max(SLOW_AT_LEAST)).min(self.ctx.deadline)
    }

    fn may_send_again(&self) -> bool {
        let rule = &self.ctx.rule;
        let may_run_again = self.runs == 0 || rule.kind.is_repeatable();
        let allowed = self.runs < rule.max_attempts && self.refused <= REFUSED_SENDS;
        if !may_run_again || !allowed {
            return false;
        }
        self.hub.retry_budgets.borrow_mut().try_retry(
            &self.ctx.pool,
            RetryPriority::High,
            self.hub.now(),
        )
    }

    /// The answer where no further attempt is made.
    fn give_up(&mut self) -> End {
        if let Some(whole) = self.last.take() {
            return End::Answer(whole);
        }
        if self.runs == 0 {
            return End::Refusal(Refusal::later(ErrorKind::Overloaded, COME_BACK));
        }
        let late = self.ctx.remaining_time().is_zero();
        let kind = if late { ErrorKind::DeadlineWhileRunning } else { ErrorKind::BackendLost };
        End::Refusal(Refusal::new(kind))
    }
}
