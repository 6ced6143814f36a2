//! Keeps a stream going by as many runs as it takes.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::BackendId;
use clementine_decide::outcome::ErrorKind;
use clementine_decide::overload::{CAPACITY_POLL_INTERVAL, max_capacity_wait};
use clementine_decide::routing::RequestKind;
use clementine_http1::ServerConn;
use spdlog::info;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::progress::Progress;
use super::relay::{Run, RunEnd};
use super::repath::repath;
use super::route::{StreamRoute, Wish, describe};
use super::watchdog::{Trouble, watch};
use crate::buffered::BufferedResponse;
use crate::callers::Refusal;
use crate::engines::check_backend;
use crate::hub::{Hub, RequestContext, RetryPriority};

/// Sends that were refused, beside the runs that the route allows.
const REFUSED_SENDS: u32 = 4;
/// The same for a stream that the caller has begun to read.
const REFUSED_RESUMES: u32 = 12;
/// Silence after which callers give a stream up.
const PATIENCE: Duration = Duration::from_secs(2);
/// Runs that ended with one of their engines, beside those that the route
/// allows.
const LOST_RUNS: u32 = 2;
/// Pause before a run in trouble that could not be helped is looked at again.
const HELP_PAUSE: Duration = Duration::from_millis(150);

/// How a stream ended for the caller.
pub(super) enum End {
    Complete,
    CallerLeft,
    /// Nothing has been sent to the caller yet.
    Refused(Refusal),
    /// A backend server's failure; nothing has been sent to the caller yet.
    Failed(BufferedResponse),
    /// The stream breaks off after some events.
    BrokenOff(&'static str),
}

/// What was done for a stream.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Runs that may have begun.
    pub(super) runs: u32,
    /// Sends after which no run began.
    pub(super) refused: u32,
    /// Runs that ended with one of their engines.
    lost: u32,
    /// Changes of path within a run.
    pub(super) repaths: u32,
    /// Engines of the last run, and links between failure domains it passed.
    pub(super) legs: usize,
    pub(super) crossings: usize,
}

/// What follows after a run.
enum Next {
    /// Another run, by a route that is chosen already or still to be chosen.
    Again(&'static str, Option<StreamRoute>),
    End(End),
}

/// Keeps a stream going by as many runs as it takes.
pub(super) struct Supervisor<'a> {
    hub: &'a Rc<Hub>,
    ctx: &'a RequestContext,
    pub(super) progress: Progress,
    pub(super) counts: Counts,
    /// Backend servers that the request was sent to and may have run on.
    ran_on: Vec<BackendId>,
    /// Backend servers to avoid in further runs.
    avoid: Vec<BackendId>,
    /// Last failure that a backend server answered with.
    failure: Option<BufferedResponse>,
}

impl<'a> Supervisor<'a> {
    pub(super) fn new(hub: &'a Rc<Hub>, ctx: &'a RequestContext) -> Self {
        Self {
            hub,
            ctx,
            progress: Progress::new(ctx.req.last_event_id),
            counts: Counts::default(),
            ran_on: Vec::new(),
            avoid: Vec::new(),
            failure: None,
        }
    }

    /// Serves the stream to its end.
    ///
    /// # Errors
    ///
    /// Fails when the caller's connection does.
    pub(super) async fn finish(&mut self, conn: &mut ServerConn) -> io::Result<End> {
        let mut chosen = self.first_route(conn).await;
        loop {
            let Some(route) = chosen.take().or_else(|| self.choose()) else {
                match self.wait_for_room(conn, "no-path").await {
                    Some(end) => return Ok(end),
                    None => continue,
                }
            };
            let (reason, next) = match self.run(conn, route).await? {
                Next::End(end) => return Ok(end),
                Next::Again(reason, next) => (reason, next),
            };
            while next.is_none() && !self.take_retry() {
                if let Some(end) = self.wait_for_room(conn, reason).await {
                    return Ok(end);
                }
            }
            chosen = next;
        }
    }

    /// A route for the first run. If there is none, the request waits a little
    /// for room.
    async fn first_route(&self, conn: &mut ServerConn) -> Option<StreamRoute> {
        let latest = self.ctx.arrived + max_capacity_wait(self.ctx.rule.target).duration();
        let mut route = self.choose();
        while route.is_none() && Instant::now() < latest {
            tokio::select! {
                () = conn.left() => break,
                () = sleep(CAPACITY_POLL_INTERVAL.duration()) => route = self.choose(),
            }
        }
        self.hub.refusal_rate.borrow_mut().record(route.is_some(), self.hub.now());
        route
    }

    fn come_back(&self) -> Duration {
        let refusal_rate = self.hub.refusal_rate.borrow();
        refusal_rate.retry_after(&mut *self.hub.rng.borrow_mut()).duration()
    }

    /// Waits a moment before a stream that the caller has begun to read is
    /// taken up again; gives its end where there is no use in waiting.
    async fn wait_for_room(&mut self, conn: &mut ServerConn, reason: &'static str) -> Option<End> {
        let silence = self.progress.last_at().elapsed();
        let patient = self.progress.has_started() && silence < PATIENCE && self.is_resumable();
        if !patient || self.ctx.remaining_time().is_zero() {
            return Some(self.give_up(reason));
        }
        tokio::select! {
            () = conn.left() => Some(End::CallerLeft),
            () = sleep(HELP_PAUSE) => None,
        }
    }

    /// Makes one run and helps it while it goes on.
    async fn run(&mut self, conn: &mut ServerConn, route: StreamRoute) -> io::Result<Next> {
        (self.counts.legs, self.counts.crossings) = (route.path.len(), route.crossings);
        self.progress.begin_run();
        let route = RefCell::new(route);
        let (hub, ctx) = (self.hub, self.ctx);
        let progress = std::mem::replace(&mut self.progress, Progress::new(None));
        let outcome = {
            let run = Run { hub, ctx, progress: &progress, route: &route };
            let mut ending = std::pin::pin!(run.finish(conn));
            let mut not_before = Instant::now();
            loop {
                let trouble = tokio::select! {
                    ended = &mut ending => break Ok(ended?),
                    trouble = watch(hub, ctx, &route, &progress, not_before) => trouble,
                };
                let helped = tokio::select! {
                    ended = &mut ending => break Ok(ended?),
                    helped = self.help(&route, &progress, &trouble) => helped,
                };
                match helped {
                    Some(next) => break Err((trouble, next)),
                    None => not_before = Instant::now() + HELP_PAUSE,
                }
            }
        };
        self.progress = progress;
        let next = match outcome {
            Ok(ended) => self.after_run(&route.borrow(), ended),
            Err((trouble, next)) => {
                self.note_ran_on(&route.borrow().first);
                self.counts.lost += u32::from(matches!(trouble, Trouble::Down(_)));
                self.counts.runs += 1;
                Next::Again(trouble.reason(), Some(next))
            }
        };
        self.log_run(&route.borrow(), &next);
        Ok(next)
    }

    /// Helps a run in trouble: by another path if that can be, else by another
    /// run if there is a route for it. Without either the run goes on, since
    /// silence alone is no reason to end it.
    async fn help(
        &mut self,
        route: &RefCell<StreamRoute>,
        progress: &Progress,
        trouble: &Trouble,
    ) -> Option<StreamRoute> {
        if let Trouble::Down(down) = trouble {
            if repath(self.hub, self.ctx, route, progress, down).await {
                self.counts.repaths += 1;
                self.hub.metrics.count_path_changed();
                return None;
            }
            self.avoid.push(down.clone());
        } else {
            self.avoid.extend(route.borrow().backends().cloned());
        }
        if !self.may_run_again() {
            return None;
        }
        self.note_ran_on(&route.borrow().first);
        let next = self.choose_after(progress)?;
        let other = next.first != route.borrow().first || next.path != route.borrow().path;
        (other && self.take_retry_for(progress)).then_some(next)
    }

    fn note_ran_on(&mut self, id: &BackendId) {
        if !self.ran_on.contains(id) {
            self.ran_on.push(id.clone());
        }
    }

    fn after_run(&mut self, route: &StreamRoute, ended: RunEnd) -> Next {
        if !matches!(ended, RunEnd::NotSent | RunEnd::NotRun(_)) {
            self.note_ran_on(&route.first);
        }
        match ended {
            RunEnd::Complete => {
                self.counts.runs += 1;
                Next::End(End::Complete)
            }
            RunEnd::CallerLeft => Next::End(End::CallerLeft),
            RunEnd::OutOfTime => {
                self.counts.runs += 1;
                Next::End(self.give_up("out-of-time"))
            }
            RunEnd::Failed(whole) => {
                self.counts.runs += 1;
                if !self.progress.has_started() {
                    self.failure = Some(whole);
                }
                Next::Again("failed", None)
            }
            RunEnd::NotSent => self.after_refusal(&route.first, "no-connection"),
            RunEnd::NotRun(at_fault) => {
                let id = self.backend_at(at_fault).unwrap_or_else(|| route.first.clone());
                self.after_refusal(&id, "refused")
            }
            RunEnd::Lost(reason) => {
                self.counts.runs += 1;
                self.blame(&route.first, reason);
                Next::Again(reason, None)
            }
        }
    }

    fn after_refusal(&mut self, at_fault: &BackendId, reason: &'static str) -> Next {
        self.counts.refused += 1;
        self.blame(at_fault, reason);
        Next::Again(reason, None)
    }

    fn backend_at(&self, address: Option<SocketAddr>) -> Option<BackendId> {
        self.hub.fleet.borrow().by_address(address?).cloned()
    }

    /// Takes a backend server out of use for a moment and has it checked.
    fn blame(&mut self, id: &BackendId, reason: &str) {
        self.hub.record_failure(id, reason, &self.ctx.req.id);
        self.avoid.push(id.clone());
        if self.hub.holds_layers(id) {
            spawn_local(check_backend(Rc::clone(self.hub), id.clone()));
        }
    }

    fn choose(&self) -> Option<StreamRoute> {
        self.choose_after(&self.progress)
    }

    /// A route for the next run: one that begins where the request has run
    /// before, once it has run on as many as the route allows.
    fn choose_after(&self, progress: &Progress) -> Option<StreamRoute> {
        let fleet = self.hub.fleet.borrow();
        // One that gives no report may be only slow, and counts.
        let counts = |id: &&BackendId| fleet.may_still_run(id);
        let ran_on: Vec<BackendId> = self.ran_on.iter().filter(counts).cloned().collect();
        drop(fleet);
        let all_used = ran_on.len() >= self.ctx.rule.max_attempts as usize;
        let first = if all_used { ran_on } else { Vec::new() };
        let wish = Wish { events: progress.events(), avoid: &self.avoid, first: &first };
        StreamRoute::choose(self.hub, self.ctx, wish)
    }

    fn may_run_again(&self) -> bool {
        let runs_allowed = self.ctx.rule.max_attempts + self.counts.lost.min(LOST_RUNS);
        let refusals = if self.progress.has_started() { REFUSED_RESUMES } else { REFUSED_SENDS };
        let may_repeat = self.counts.runs == 0 || self.is_resumable();
        may_repeat && self.counts.runs < runs_allowed && self.counts.refused <= refusals
    }

    fn is_resumable(&self) -> bool {
        self.ctx.rule.kind == RequestKind::Stream { resumable: true }
    }

    fn take_retry(&self) -> bool {
        self.may_run_again() && self.take_retry_for(&self.progress)
    }

    fn take_retry_for(&self, progress: &Progress) -> bool {
        let what = if progress.has_started() { RetryPriority::High } else { RetryPriority::Low };
        self.hub.retry_budgets.borrow_mut().try_retry(&self.ctx.pool, what, self.hub.now())
    }

    /// The end where no further run is made.
    fn give_up(&mut self, reason: &'static str) -> End {
        if self.progress.has_started() {
            return End::BrokenOff(reason);
        }
        if let Some(whole) = self.failure.take() {
            return End::Failed(whole);
        }
        if self.counts.runs == 0 {
            return End::Refused(Refusal::later(ErrorKind::Overloaded, self.come_back()));
        }
        let late = self.ctx.remaining_time().is_zero();
        let kind = if late { ErrorKind::DeadlineWhileRunning } else { ErrorKind::BackendLost };
        End::Refused(Refusal::new(kind))
    }

    fn log_run(&self, route: &StreamRoute, next: &Next) {
        let Next::Again(reason, _) = next else { return };
        self.hub.metrics.count_retry(reason);
        info!(
            "stream: id={} run={} ended reason={} events={} path={}",
            self.ctx.req.id,
            self.counts.runs,
            reason,
            self.progress.events(),
            describe(&route.path, self.hub)
        );
    }
}
