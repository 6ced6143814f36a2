//! The wait of a request for capacity of its pool.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::admission::{
    CallerReturn, PoolDecision, PoolQueue, PoolRequest, QueueTicket, RefusalReason,
};
use clementine_decide::ids::Tick;
use clementine_decide::quarantine::Fingerprint;
use clementine_objects::Millis;
use spdlog::info;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::{RequestContext, SharedState};

/// A request has been refused for lack of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoCapacity;

/// Finds a route or a server for a request with `find`, and waits for capacity in
/// the queue of the request's pool if there is none. Dropping the future leaves the
/// queue.
///
/// # Errors
///
/// Returns an error if the request is refused.
pub(crate) async fn wait_for_capacity<R>(
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    resume_until: Option<Instant>,
    find: impl Fn() -> Option<R>,
) -> Result<R, NoCapacity> {
    let has_waiting = shared.queues.has_waiting(&ctx.pool);
    let is_first_route = resume_until.is_none();
    if !has_waiting && let Some(found) = find() {
        redeem_promise(shared, ctx);
        record_found(shared, ctx, is_first_route);
        return Ok(found);
    }
    let returned = redeem_promise(shared, ctx);
    let request = PoolRequest { returned, ..pool_request(shared, ctx, resume_until) };
    let may_try =
        has_waiting && shared.queues.with(&ctx.pool, |queue| queue.may_try(&request, shared.now()));
    if may_try && let Some(found) = find() {
        record_found(shared, ctx, is_first_route);
        return Ok(found);
    }
    shared.record_scarce(ctx);
    let mut place = Place::join(shared, ctx, request)?;
    loop {
        let is_last = place.wait().await;
        if !place.is_waiting() {
            place.finish("displaced");
            return Err(NoCapacity);
        }
        let found = find();
        place.record_try(found.is_some());
        match found {
            Some(found) => {
                place.finish("served");
                record_found(shared, ctx, is_first_route);
                return Ok(found);
            }
            None if is_last => {
                place.finish("waited-in-vain");
                return Err(NoCapacity);
            }
            None => {}
        }
    }
}

/// Time after which the caller of a request that is refused for lack of capacity
/// should return, or `None` if nothing is known of the capacity.
pub(crate) fn promise_return(shared: &SharedState, ctx: &RequestContext) -> Option<Duration> {
    let now = shared.now();
    let request = pool_request(shared, ctx, None);
    let load = shared.pool_load(&ctx.pool);
    let (delay, told) = shared.queues.with(&ctx.pool, |queue| {
        let mut rng = shared.rng.borrow_mut();
        let delay = queue.promise(caller(ctx), &request, &load, now, &mut *rng);
        (delay, queue.told_to_return(now))
    });
    let delay = delay?;
    shared.metrics.count_told_to_return();
    info!(
        "admission: id={} pool={} told to return after_ms={} told={}",
        ctx.req.id, ctx.pool, delay.0, told
    );
    Some(delay.duration())
}

/// Whether the caller has returned when it was told to, after it had been refused.
fn redeem_promise(shared: &SharedState, ctx: &RequestContext) -> CallerReturn {
    let caller = caller(ctx);
    let arrived = arrival(shared, ctx);
    let returned = shared.queues.with(&ctx.pool, |queue| queue.redeem_promise(caller, arrived));
    match returned {
        CallerReturn::AsTold => shared.metrics.count_caller_return("as-told"),
        CallerReturn::Early => shared.metrics.count_caller_return("early"),
        CallerReturn::New => {}
    }
    returned
}

/// Recognizes a caller that returns. Requests without a body have too much in common
/// to be recognized by their content.
fn caller(ctx: &RequestContext) -> Fingerprint {
    if ctx.req.body.is_empty() {
        return Fingerprint::of_request(&ctx.req.id, ctx.req.head.uri.path(), &[]);
    }
    ctx.suspects.request()
}

fn arrival(shared: &SharedState, ctx: &RequestContext) -> Tick {
    shared.now().before(ctx.arrived.elapsed().into())
}

/// Records that a request has found capacity. `is_first_route` is false for a stream
/// that needs another path: its work has been counted before.
fn record_found(shared: &SharedState, ctx: &RequestContext, is_first_route: bool) {
    shared.queues.with(&ctx.pool, |queue| queue.forget_promise(caller(ctx)));
    if is_first_route {
        shared.record_admitted(ctx);
    }
}

/// The request as the queue sees it. `resume_until` is given for a stream of which
/// the caller has received events.
fn pool_request(
    shared: &SharedState,
    ctx: &RequestContext,
    resume_until: Option<Instant>,
) -> PoolRequest {
    let now = shared.now();
    let time_of = |at: Instant| now.after(at.saturating_duration_since(Instant::now()).into());
    let deadline = resume_until.map_or(ctx.deadline, |until| until.min(ctx.deadline));
    PoolRequest {
        begun: resume_until.is_some(),
        returned: CallerReturn::New,
        level: ctx.priority(),
        over_share: shared.shares.borrow().is_over_share(ctx.share_key(), now),
        arrived: arrival(shared, ctx),
        target: ctx.rule.target_latency,
        deadline: time_of(deadline),
    }
}

/// A request's place in the queue. Dropping it leaves the queue.
struct Place<'a> {
    shared: &'a Rc<SharedState>,
    ctx: &'a RequestContext,
    ticket: QueueTicket,
    turn: Rc<Notify>,
    joined: Instant,
    wait: Duration,
    expected: Option<Millis>,
    returned: CallerReturn,
    finished: bool,
}

impl<'a> Place<'a> {
    fn join(
        shared: &'a Rc<SharedState>,
        ctx: &'a RequestContext,
        request: PoolRequest,
    ) -> Result<Self, NoCapacity> {
        let now = shared.now();
        let load = shared.pool_load(&ctx.pool);
        let turn = Rc::new(Notify::new());
        let (expected, decision) = shared.queues.with(&ctx.pool, |queue| {
            let expected = queue.expected_wait(&request, &load, now);
            let decision = if request.may_wait() {
                queue.offer(request, Rc::clone(&turn), &load, now)
            } else {
                PoolDecision::Refused(RefusalReason::OverShare)
            };
            (expected, decision)
        });
        let (ticket, until, displaced) = match decision {
            PoolDecision::Queued { ticket, until, displaced } => (ticket, until, displaced),
            PoolDecision::Refused(reason) => {
                let decision = Decision {
                    name: refusal_name(reason),
                    waited: Duration::ZERO,
                    expected,
                    returned: request.returned,
                };
                decision.record(shared, ctx);
                return Err(NoCapacity);
            }
        };
        let wait = until.since(now);
        let mut place = Self {
            shared,
            ctx,
            ticket,
            turn,
            joined: Instant::now(),
            wait: wait.duration(),
            expected,
            returned: request.returned,
            finished: false,
        };
        if let Some(displaced) = displaced {
            displaced.notify_one();
        }
        // Waiting is pointless if all servers have asked to be left alone for longer.
        let pause = shared.fleet.borrow().pool_pause(&ctx.pool, now);
        if pause.is_some_and(|pause| pause > wait) {
            place.finish("pool-paused");
            return Err(NoCapacity);
        }
        shared.arm_pool_timer(&ctx.pool, &load);
        shared.queues.wake_next(&ctx.pool, now);
        Ok(place)
    }

    /// Waits for the request's turn or the end of its wait. Returns whether its wait
    /// has ended.
    async fn wait(&self) -> bool {
        let left = self.wait.saturating_sub(self.joined.elapsed());
        tokio::select! {
            () = self.turn.notified() => false,
            () = sleep(left) => true,
        }
    }

    fn with_queue<R>(&self, act: impl FnOnce(&mut PoolQueue<Rc<Notify>>) -> R) -> R {
        self.shared.queues.with(&self.ctx.pool, act)
    }

    fn is_waiting(&self) -> bool {
        self.with_queue(|queue| queue.is_waiting(self.ticket))
    }

    fn record_try(&self, found: bool) {
        self.with_queue(|queue| queue.record_try(self.ticket, found));
        self.shared.queues.wake_next(&self.ctx.pool, self.shared.now());
    }

    fn finish(&mut self, name: &'static str) {
        self.finished = true;
        let waited = self.joined.elapsed();
        self.shared.metrics.record_capacity_wait(waited);
        let decision = Decision { name, waited, expected: self.expected, returned: self.returned };
        decision.record(self.shared, self.ctx);
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.with_queue(|queue| queue.leave(self.ticket));
        self.shared.queues.wake_next(&self.ctx.pool, self.shared.now());
        if !self.finished {
            self.finish("caller-left");
        }
    }
}

const fn refusal_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TooLate => "too-late",
        RefusalReason::OverShare => "over-share",
        RefusalReason::NotDue => "not-due",
        RefusalReason::QueueFull => "queue-full",
    }
}

/// What became of a request that found no capacity when it arrived.
struct Decision {
    name: &'static str,
    waited: Duration,
    expected: Option<Millis>,
    returned: CallerReturn,
}

impl Decision {
    /// Counts and logs the decision.
    fn record(&self, shared: &SharedState, ctx: &RequestContext) {
        shared.metrics.count_admission(self.name);
        let expected = self.expected.map_or_else(|| "unknown".into(), |wait| wait.0.to_string());
        info!(
            "admission: id={} pool={} decision={} waited_ms={} expected_ms={} waiting={} returned={}",
            ctx.req.id,
            ctx.pool,
            self.name,
            self.waited.as_millis(),
            expected,
            shared.queues.with(&ctx.pool, |queue| queue.len()),
            self.returned == CallerReturn::AsTold
        );
    }
}
