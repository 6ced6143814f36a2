//! Serves a stream by as many runs as it takes.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use clementine_decide::ids::BackendId;
use clementine_decide::outcome::ErrorKind;
use clementine_decide::routing::RequestKind;
use clementine_http1::ServerConn;
use clementine_platform::requests::{BackendAnswer, relayed_answer};
use spdlog::info;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::attempt::{Opened, open};
use super::relay::{Progress, Relayed, Waits, relay};
use super::route::{StreamRoute, Wish, describe};
use super::watchdog::{Pulse, watch};
use crate::callers::{Refusal, refuse};
use crate::engines::check_backend;
use crate::hub::{Hub, Job, RetryFor};
use crate::whole::{WholeAnswer, send_whole};

/// When to come back where no engines have room.
const COME_BACK: Duration = Duration::from_millis(500);
/// Longest wait for the first event of a run.
const FIRST_EVENT_WAIT: Duration = Duration::from_millis(1_200);
/// Longest wait between two events of a run.
const NEXT_EVENT_WAIT: Duration = Duration::from_millis(500);
/// Sends that were refused, beside the runs that the route allows.
const REFUSED_SENDS: u32 = 4;
/// Runs that ended with one of their engines, beside those that the route
/// allows.
const LOST_RUNS: u32 = 2;

/// Serves a request that is answered with a stream of events.
pub(crate) async fn serve(conn: &mut ServerConn, hub: &Rc<Hub>, job: &Job) -> io::Result<()> {
    let progress = Progress { last_event: job.req.last_event, ..Progress::default() };
    let mut stream = Stream {
        hub,
        job,
        progress,
        started: false,
        runs: 0,
        refused: 0,
        lost: 0,
        legs: 0,
        crossings: 0,
        sent_to: Vec::new(),
        avoid: Vec::new(),
        failure: None,
    };
    let end = stream.to_end(conn).await?;
    stream.log(&end);
    stream.finish(conn, &end).await
}

/// How a stream ended for the caller.
enum End {
    Complete,
    CallerLeft,
    /// Nothing has been sent to the caller yet.
    Refused(Refusal),
    /// A backend server's failure; nothing has been sent to the caller yet.
    Failed(WholeAnswer),
    /// The stream breaks off after some events.
    BrokenOff(&'static str),
}

/// What follows after a run.
enum Next {
    Again(&'static str),
    End(End),
}

struct Stream<'a> {
    hub: &'a Rc<Hub>,
    job: &'a Job,
    progress: Progress,
    /// Whether the caller has the headers of the answer.
    started: bool,
    /// Runs that may have begun.
    runs: u32,
    /// Sends after which no run began.
    refused: u32,
    /// Runs that ended with one of their engines.
    lost: u32,
    /// Engines of the last run, and links between failure domains it passed.
    legs: usize,
    crossings: usize,
    /// Backend servers that the request has been sent to and may have run on.
    sent_to: Vec<BackendId>,
    /// Backend servers to avoid in further runs.
    avoid: Vec<BackendId>,
    /// Last failure that a backend server answered with.
    failure: Option<WholeAnswer>,
}

impl Stream<'_> {
    async fn to_end(&mut self, conn: &mut ServerConn) -> io::Result<End> {
        loop {
            let Some(route) = self.choose() else {
                return Ok(self.give_up("no-path"));
            };
            (self.legs, self.crossings) = (route.path.len(), route.crossings);
            let reason = match self.run(conn, &route).await? {
                Next::End(end) => return Ok(end),
                Next::Again(reason) => reason,
            };
            info!(
                "stream: id={} run={} ended reason={} events={} path={}",
                self.job.req.id, self.runs, reason, self.progress.events, describe(&route.path, self.hub)
            );
            if self.job.left().is_zero() || !self.may_run_again() {
                return Ok(self.give_up(reason));
            }
        }
    }

    fn choose(&self) -> Option<StreamRoute> {
        let fleet = self.hub.fleet.borrow();
        let alive = |id: &&BackendId| fleet.get(id).is_some_and(|member| !member.is_down());
        let sent_to: Vec<BackendId> = self.sent_to.iter().filter(alive).cloned().collect();
        drop(fleet);
        let all_used = sent_to.len() >= self.job.rule.max_attempts as usize;
        let first = if all_used { sent_to } else { Vec::new() };
        let wish = Wish { events: self.progress.events, avoid: &self.avoid, first: &first };
        StreamRoute::choose(self.hub, self.job, wish)
    }

    /// Makes one run, until it ends or one of its engines is down.
    async fn run(&mut self, conn: &mut ServerConn, route: &StreamRoute) -> io::Result<Next> {
        let (hub, job) = (self.hub, self.job);
        let pulse = Pulse::start();
        if !self.sent_to.contains(&route.first) {
            self.sent_to.push(route.first.clone());
        }
        let lost = tokio::select! {
            next = self.run_unwatched(conn, route, &pulse) => return next,
            lost = watch(hub, job, route, &pulse) => lost,
        };
        self.lost += 1;
        self.avoid.push(lost);
        Ok(Next::Again("engine-down"))
    }

    async fn run_unwatched(
        &mut self,
        conn: &mut ServerConn,
        route: &StreamRoute,
        pulse: &Pulse,
    ) -> io::Result<Next> {
        let limit = (Instant::now() + FIRST_EVENT_WAIT).min(self.job.until);
        let last_event = self.progress.last_event;
        let opened = tokio::select! {
            opened = open(self.hub, self.job, route, last_event, limit) => opened,
            () = conn.left() => return Ok(Next::End(End::CallerLeft)),
        };
        match opened {
            Opened::Stream(answer, mut exchange) => {
                self.runs += 1;
                self.start(conn, &answer)?;
                let waits = Waits {
                    first: FIRST_EVENT_WAIT,
                    between: NEXT_EVENT_WAIT,
                    until: self.job.until,
                };
                let hub = self.hub;
                let note = || {
                    pulse.beat();
                    note_alive(hub, route);
                };
                let relayed = relay(conn, &mut exchange, &mut self.progress, waits, note).await?;
                Ok(self.after_relay(route, relayed))
            }
            Opened::Failed(whole) => {
                self.runs += 1;
                if !self.started {
                    self.failure = Some(whole);
                }
                Ok(Next::Again("failed"))
            }
            Opened::NotSent => {
                self.refused += 1;
                self.sent_to.retain(|id| *id != route.first);
                self.blame(&route.first, "no-connection");
                Ok(Next::Again("no-connection"))
            }
            Opened::NotRun(at_fault) => {
                self.refused += 1;
                self.sent_to.retain(|id| *id != route.first);
                let found = at_fault.and_then(|at| self.hub.fleet.borrow().at(at).cloned());
                self.blame(found.as_ref().unwrap_or(&route.first), "refused");
                Ok(Next::Again("refused"))
            }
            Opened::Lost(reason) => {
                self.runs += 1;
                self.blame(&route.first, reason);
                Ok(Next::Again(reason))
            }
            Opened::Silent => {
                self.runs += 1;
                Ok(self.after_relay(route, Relayed::Silent))
            }
        }
    }

    fn start(&mut self, conn: &mut ServerConn, answer: &BackendAnswer) -> io::Result<()> {
        if self.started {
            return Ok(());
        }
        self.started = true;
        let mut res = relayed_answer(&answer.head);
        if self.hub.drain.is_draining() {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        conn.start_stream(res)
    }

    fn after_relay(&mut self, route: &StreamRoute, relayed: Relayed) -> Next {
        match relayed {
            Relayed::Complete => Next::End(End::Complete),
            Relayed::CallerLeft => Next::End(End::CallerLeft),
            Relayed::OutOfTime => Next::End(self.give_up("out-of-time")),
            Relayed::Broken(reason) => {
                self.blame(&route.first, reason);
                Next::Again(reason)
            }
            Relayed::Silent => {
                self.avoid_silent(route);
                Next::Again("silent")
            }
        }
    }

    /// Avoids the backend servers of a route of which nothing came for a
    /// while, or all of them where something came of each.
    fn avoid_silent(&mut self, route: &StreamRoute) {
        let now = self.hub.now();
        let fleet = self.hub.fleet.borrow();
        let legs = route.path.iter().map(|leg| &leg.id);
        let all: Vec<BackendId> = legs.chain([&route.first]).cloned().collect();
        let is_silent = |id: &&BackendId| {
            let member = fleet.get(id);
            member.is_none_or(|member| now.since(member.alive_at) >= SILENT)
        };
        let silent: Vec<BackendId> = all.iter().filter(is_silent).cloned().collect();
        drop(fleet);
        let blamed = if silent.is_empty() { all } else { silent };
        self.avoid.extend(blamed);
    }

    /// Takes a backend server out of use for a moment and has it checked.
    fn blame(&mut self, id: &BackendId, reason: &str) {
        self.hub.note_failure(id, reason, &self.job.req.id);
        self.avoid.push(id.clone());
        if self.hub.holds_layers(id) {
            spawn_local(check_backend(Rc::clone(self.hub), id.clone()));
        }
    }

    fn may_run_again(&self) -> bool {
        let rule = &self.job.rule;
        let resumable = rule.kind == RequestKind::Stream { resumable: true };
        let may_repeat = self.runs == 0 || resumable;
        let runs_allowed = rule.max_attempts + self.lost.min(LOST_RUNS);
        let allowed = self.runs < runs_allowed && self.refused <= REFUSED_SENDS;
        let what = if self.started { RetryFor::Rest } else { RetryFor::Start };
        may_repeat && allowed && self.hub.retries.borrow_mut().try_retry(&self.job.pool, what)
    }

    /// The end where no further run is made.
    fn give_up(&mut self, reason: &'static str) -> End {
        if self.started {
            return End::BrokenOff(reason);
        }
        if let Some(whole) = self.failure.take() {
            return End::Failed(whole);
        }
        if self.runs == 0 {
            return End::Refused(Refusal::later(ErrorKind::Overloaded, COME_BACK));
        }
        let late = self.job.left().is_zero();
        let kind = if late { ErrorKind::DeadlineWhileRunning } else { ErrorKind::BackendLost };
        End::Refused(Refusal::new(kind))
    }

    async fn finish(&self, conn: &mut ServerConn, end: &End) -> io::Result<()> {
        let closing = self.hub.drain.is_draining();
        match end {
            End::Complete => conn.finish_stream().await,
            End::CallerLeft | End::BrokenOff(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            End::Refused(refusal) => refuse(conn, &self.job.req.id, *refusal, closing).await,
            End::Failed(whole) => send_whole(conn, whole, closing).await,
        }
    }

    fn log(&self, end: &End) {
        let job = self.job;
        let outcome = match end {
            End::Complete => "complete",
            End::CallerLeft => "caller-left",
            End::Refused(refusal) => refusal.kind.code(),
            End::Failed(_) => "backend-failed",
            End::BrokenOff(reason) => reason,
        };
        let first = self.progress.first_at.map(|at| (at - job.arrived).as_millis());
        info!(
            "stream: id={} route={} outcome={} runs={} refused_sends={} events={} first_ms={:?} \
             longest_pause_ms={} legs={} crossings={} after_ms={}",
            job.req.id,
            job.rule.name,
            outcome,
            self.runs,
            self.refused,
            self.progress.events,
            first,
            self.progress.longest_pause.as_millis(),
            self.legs,
            self.crossings,
            job.age_ms()
        );
    }
}

/// Time without any event of a backend server after which it is suspected.
const SILENT: clementine_objects::Millis = clementine_objects::Millis(300);

fn note_alive(hub: &Hub, route: &StreamRoute) {
    let now = hub.now();
    let mut fleet = hub.fleet.borrow_mut();
    let legs = route.path.iter().map(|leg| &leg.id);
    for id in legs.chain([&route.first]) {
        if let Some(member) = fleet.get_mut(id) {
            member.note_alive(now);
        }
    }
}
