//! Runs a request that may be run again, at as many backend servers as it
//! takes.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clementine_decide::balance::Exclusions;
use clementine_decide::ids::AgentRef;
use clementine_decide::outcome::ErrorKind;
use clementine_decide::quarantine::Fingerprint;
use clementine_decide::stage::HeadGeneration;
use clementine_objects::{Millis, Repeat};
use clementine_wire::{
    HttpResponseHead, NotRunReason, Progress, RunRequest, StageTargets, WorkOutcome,
};
use compact_str::CompactString;
use tokio::time::sleep;

use super::Endpoint;
use super::attempt::{Attempt, AttemptFault, fresh_tag};
use super::chain_end::ChainEnd;
use super::pools::Places;
use super::resume::Delivered;
use crate::callers::{CallerRequest, Refusal};
use crate::entry::Entry;

/// Attempts for one request.
const ATTEMPTS_MAX: u32 = 8;

/// Rounds in which no backend server takes the request.
const EMPTY_ROUNDS_MAX: u32 = 8;

/// Pause before agents that have failed are tried again.
const SECOND_ROUND_PAUSE: Duration = Duration::from_millis(100);

/// A part of an answer.
#[derive(Debug)]
pub(super) enum Part {
    /// Chunks that follow on from those before.
    Chunks(Vec<Bytes>),
    /// The answer starts again: the chunks before are void.
    Restart,
    /// The answer is whole.
    End,
}

/// Runs a request that may be run again.
#[derive(Debug)]
pub(super) struct SafeRun {
    entry: Rc<Entry>,
    caller: CallerRequest,
    places: Places,
    /// Endpoint of a streamed completion, which is continued after a failure
    /// and not started again.
    streamed: Option<Endpoint>,
    fingerprint: Fingerprint,
    crashed_here: bool,
    avoid: Exclusions,
    /// Failure domain of the present attempt.
    domain: CompactString,
    attempts: u32,
    empty_rounds: u32,
    /// Orders sent; each names a new head of a split model.
    heads: u32,
    chain_end: ChainEnd,
    attempt: Option<Attempt>,
    /// Status and headers, once known.
    pub(super) head: Option<HttpResponseHead>,
    delivered: Delivered,
    ended: bool,
}

impl SafeRun {
    /// A run that has not started.
    pub(super) fn new(
        entry: Rc<Entry>,
        caller: CallerRequest,
        places: Places,
        streamed: Option<Endpoint>,
    ) -> Self {
        let fingerprint =
            Fingerprint::of_request(&caller.workspace.name, &caller.path, &caller.body);
        entry.retries.borrow_mut().record_request();
        Self {
            chain_end: ChainEnd::new(Rc::clone(&entry)),
            entry,
            caller,
            places,
            streamed,
            fingerprint,
            crashed_here: false,
            avoid: Exclusions::default(),
            domain: CompactString::default(),
            attempts: 0,
            empty_rounds: 0,
            heads: 0,
            attempt: None,
            head: None,
            delivered: Delivered::default(),
            ended: false,
        }
    }

    /// The entry that runs the request.
    pub(super) fn entry(&self) -> &Entry {
        &self.entry
    }

    /// The next part of the answer.
    pub(super) async fn next(&mut self) -> Result<Part, Refusal> {
        if self.ended {
            return Ok(Part::End);
        }
        let Some(attempt) = &mut self.attempt else { return self.start().await };
        match attempt.next(&self.entry).await {
            Ok(progress) if self.continues(&progress) => Ok(self.take(progress)),
            Ok(_) => {
                let message = "the backend server could not continue the answer";
                Err(Refusal::new(ErrorKind::BackendFailed, message))
            }
            Err(fault) => {
                self.attempt = None;
                self.failed(fault).await
            }
        }
    }

    /// Whether progress belongs to the answer that the caller has in part: a
    /// backend server may refuse to continue it.
    fn continues(&self, progress: &Progress) -> bool {
        let statuses = self.head.as_ref().zip(progress.head.as_ref());
        statuses.is_none_or(|(ours, theirs)| ours.status == theirs.status)
    }

    fn take(&mut self, progress: Progress) -> Part {
        if self.head.is_none() {
            self.head = progress.head;
        }
        self.ended = progress.end == Some(WorkOutcome::Complete);
        if self.streamed.is_some() && !self.ended {
            for event in &progress.chunks {
                self.delivered.note(event.clone());
            }
        }
        Part::Chunks(progress.chunks)
    }

    /// Starts the next attempt.
    async fn start(&mut self) -> Result<Part, Refusal> {
        self.check_quarantine()?;
        let now = self.entry.clock.now();
        if self.caller.time_left(now) == Millis(0) {
            return Err(Refusal::new(ErrorKind::DeadlineBeforeRun, "the deadline has passed"));
        }
        let found = self.places.candidates(&self.entry.fleet, now);
        let chosen = self.entry.fleet.choose(&found.candidates, &self.avoid);
        let member = chosen.and_then(|agent| self.entry.fleet.member(agent.address));
        let (Some(agent), Some(member)) = (chosen, member) else { return self.none_left().await };
        self.attempts += 1;
        self.heads += 1;
        let Some(order) = self.order(&agent, found.stages) else {
            return Err(Refusal::new(ErrorKind::BackendFailed, "the answer can't be continued"));
        };
        if let Some(plan) = &order.split {
            self.chain_end.note(agent.address, plan);
        }
        self.avoid.tried.push(agent);
        let candidate = found.candidates.iter().find(|candidate| candidate.agent == agent);
        self.domain = candidate.map(|candidate| candidate.domain.clone()).unwrap_or_default();
        match Attempt::start(&self.entry, member, order).await {
            Ok(attempt) => {
                self.attempt = Some(attempt);
                Ok(Part::Chunks(Vec::new()))
            }
            Err(fault) => self.failed(fault).await,
        }
    }

    fn order(&self, agent: &AgentRef, stages: Option<Vec<StageTargets>>) -> Option<RunRequest> {
        let delivered = self.streamed.map_or(0, |endpoint| self.delivered.tokens(endpoint));
        let split = self.places.plan(stages, HeadGeneration(self.heads), delivered);
        let continued = self.streamed.filter(|_| split.is_none() && !self.delivered.is_empty());
        let body = match continued {
            Some(endpoint) => self.delivered.continued(&self.caller.body, endpoint)?,
            None => self.caller.body.clone(),
        };
        Some(RunRequest {
            tag: fresh_tag(agent),
            request: self.caller.id,
            repeat: Repeat::Safe,
            method: self.caller.method.clone(),
            path: self.caller.path.clone(),
            headers: self.caller.headers.clone(),
            body,
            time_left: self.caller.time_left(self.entry.clock.now()),
            level: self.caller.level,
            fingerprint: self.fingerprint,
            crashes: self.entry.known_crashes(self.fingerprint),
            done: Vec::new(),
            split,
        })
    }

    /// Every agent has been tried, or there is none.
    async fn none_left(&mut self) -> Result<Part, Refusal> {
        self.empty_rounds += 1;
        if self.empty_rounds >= EMPTY_ROUNDS_MAX {
            return Err(Refusal::new(ErrorKind::NoBackend, "no backend server takes the request"));
        }
        sleep(SECOND_ROUND_PAUSE).await;
        self.avoid.tried.clear();
        Ok(Part::Chunks(Vec::new()))
    }

    /// Decides whether a failed attempt is followed by another one.
    async fn failed(&mut self, fault: AttemptFault) -> Result<Part, Refusal> {
        if matches!(fault, AttemptFault::AgentLost | AttemptFault::BackendLost) {
            self.avoid.failed_domains.push(std::mem::take(&mut self.domain));
        }
        if fault == AttemptFault::BackendLost {
            self.crashed_here = true;
            self.entry.spread_crash(self.fingerprint, &self.places.pools()).await;
            self.check_quarantine()?;
        }
        if is_kept_apart(fault) {
            // Wait for a backend server without a suspect, while there is time.
            self.empty_rounds = 0;
            self.attempts -= 1;
            return Ok(Part::Chunks(Vec::new()));
        }
        let mut refusal = refusal(fault);
        if refusal.kind == ErrorKind::Quarantined {
            self.entry.learn_quarantine(self.fingerprint);
            if self.crashed_here {
                refusal.kind = ErrorKind::CrashedBackends;
            }
        }
        if !is_retryable(fault) || self.attempts >= ATTEMPTS_MAX {
            return Err(refusal);
        }
        let too_much = self.delivered.bytes() > self.entry.settings.limits.answer_bytes;
        if too_much || !self.entry.retries.borrow_mut().try_retry() {
            return Err(refusal);
        }
        self.entry.metrics.count_retry(refusal.kind.code());
        if self.streamed.is_some() {
            return Ok(Part::Chunks(Vec::new()));
        }
        self.head = None;
        Ok(Part::Restart)
    }

    fn check_quarantine(&self) -> Result<(), Refusal> {
        if !self.entry.is_quarantined(self.fingerprint) {
            return Ok(());
        }
        let kind =
            if self.crashed_here { ErrorKind::CrashedBackends } else { ErrorKind::Quarantined };
        Err(Refusal::new(kind, "the request has crashed backend servers"))
    }
}

fn is_kept_apart(fault: AttemptFault) -> bool {
    matches!(fault, AttemptFault::NotRun { reason: NotRunReason::SuspectsApart, .. })
}

fn is_retryable(fault: AttemptFault) -> bool {
    match fault {
        AttemptFault::AgentLost | AttemptFault::BackendLost => true,
        AttemptFault::DeadlinePassed | AttemptFault::TooLarge => false,
        AttemptFault::NotRun { reason, .. } => {
            !matches!(reason, NotRunReason::DeadlinePassed | NotRunReason::Quarantined)
        }
    }
}

fn refusal(fault: AttemptFault) -> Refusal {
    match fault {
        AttemptFault::NotRun { reason, retry_after } => {
            let (kind, message) = match reason {
                NotRunReason::Overloaded | NotRunReason::SuspectsApart => {
                    (ErrorKind::Overloaded, "no backend server can answer in time")
                }
                NotRunReason::DeadlinePassed => {
                    (ErrorKind::DeadlineBeforeRun, "the deadline passed in the queue")
                }
                NotRunReason::Quarantined => {
                    (ErrorKind::Quarantined, "the request has crashed backend servers")
                }
                NotRunReason::Leaving
                | NotRunReason::NotCurrent
                | NotRunReason::BackendDown
                | NotRunReason::Cancelled => {
                    (ErrorKind::NoBackend, "no backend server takes the request")
                }
            };
            Refusal::new(kind, message).retry_after(retry_after)
        }
        AttemptFault::AgentLost => {
            Refusal::new(ErrorKind::AgentUnreachable, "the backend server can't be reached")
        }
        AttemptFault::BackendLost => {
            Refusal::new(ErrorKind::BackendLost, "the backend server broke off")
        }
        AttemptFault::DeadlinePassed => {
            Refusal::new(ErrorKind::DeadlineWhileRunning, "the deadline passed")
        }
        AttemptFault::TooLarge => Refusal::new(ErrorKind::BackendFailed, "the answer is too large"),
    }
}
