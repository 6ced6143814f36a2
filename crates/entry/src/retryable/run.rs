//! Execution of a retryable request, with retries on other backend servers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clementine_decide::balance::Exclusions;
use clementine_decide::ids::AgentRef;
use clementine_decide::outcome::{ErrorKind, Outcome};
use clementine_decide::quarantine::Fingerprint;
use clementine_decide::stage::HeadGeneration;
use clementine_objects::{Millis, Repeat};
use clementine_wire::{
    HttpResponseHead, NotRunReason, Progress, RunRequest, StageTargets, WorkOutcome,
};
use compact_str::CompactString;
use tokio::time::sleep;

use super::Endpoint;
use super::attempt::{Attempt, AttemptError, new_tag};
use super::chain_cleanup::ChainCleanup;
use super::pools::EligiblePools;
use super::resume::DeliveredEvents;
use crate::callers::{CallerRequest, RequestError};
use crate::entry::Entry;

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 8;

/// Number of waits for candidates after which a request fails.
const MAX_CANDIDATE_WAITS: u32 = 8;

/// Pause before agents that have failed or refused are tried again.
const CANDIDATE_WAIT: Duration = Duration::from_millis(100);

/// A part of a response.
#[derive(Debug)]
pub(super) enum ResponsePart {
    /// Chunks that follow the previous ones; may be empty.
    Chunks(Vec<Bytes>),
    /// The response starts again; the previous chunks must be discarded.
    Restart,
    /// The response is complete.
    End,
}

/// A retryable request being executed.
#[derive(Debug)]
pub(super) struct RetryableRun {
    entry: Rc<Entry>,
    caller: CallerRequest,
    pools: EligiblePools,
    /// Endpoint of a streamed completion. After a failure, it is continued rather
    /// than restarted.
    streamed: Option<Endpoint>,
    fingerprint: Fingerprint,
    crashed_backend: bool,
    /// Whether an attempt failed after a backend server may have executed the request.
    may_have_run: bool,
    avoid: Exclusions,
    /// Failure domain of the current attempt.
    domain: CompactString,
    attempts: u32,
    /// Number of times that no untried candidate was found.
    candidate_waits: u32,
    /// Number of requests sent to agents; for a split model, the generation of the
    /// current head.
    head_generation: u32,
    chain_cleanup: ChainCleanup,
    attempt: Option<Attempt>,
    /// Status and headers, once received.
    pub(super) head: Option<HttpResponseHead>,
    delivered: DeliveredEvents,
    ended: bool,
}

impl RetryableRun {
    /// Prepares a request; the first call of [`Self::next`] starts it.
    pub(super) fn new(
        entry: Rc<Entry>,
        caller: CallerRequest,
        pools: EligiblePools,
        streamed: Option<Endpoint>,
    ) -> Self {
        let fingerprint =
            Fingerprint::of_request(caller.workspace.name.as_str(), &caller.path, &caller.body);
        entry.retry_budget.borrow_mut().record_request();
        Self {
            chain_cleanup: ChainCleanup::new(Rc::clone(&entry)),
            entry,
            caller,
            pools,
            streamed,
            fingerprint,
            crashed_backend: false,
            may_have_run: false,
            avoid: Exclusions::default(),
            domain: CompactString::default(),
            attempts: 0,
            candidate_waits: 0,
            head_generation: 0,
            attempt: None,
            head: None,
            delivered: DeliveredEvents::default(),
            ended: false,
        }
    }

    /// Returns the entry that executes the request.
    pub(super) fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns the next part of the response. An error of the last attempt does not
    /// claim that the request has not run if an earlier attempt may have run it.
    pub(super) async fn next(&mut self) -> Result<ResponsePart, RequestError> {
        let next = self.next_of_attempts().await;
        next.map_err(|error| if self.may_have_run { with_unknown_outcome(error) } else { error })
    }

    async fn next_of_attempts(&mut self) -> Result<ResponsePart, RequestError> {
        if self.ended {
            return Ok(ResponsePart::End);
        }
        let Some(attempt) = &mut self.attempt else { return self.start().await };
        match attempt.next(&self.entry).await {
            Ok(progress) if self.is_continuation(&progress) => Ok(self.accept(progress)),
            Ok(_) => {
                let message = "the backend server could not continue the response";
                Err(RequestError::new(ErrorKind::BackendFailed, message))
            }
            Err(failure) => {
                self.attempt = None;
                self.may_have_run |= !matches!(failure, AttemptError::NotRun { .. });
                self.handle_failure(failure).await
            }
        }
    }

    /// Returns whether progress continues the response that the caller has received
    /// in part. A different status means that the backend server refused to
    /// continue.
    fn is_continuation(&self, progress: &Progress) -> bool {
        let statuses = self.head.as_ref().zip(progress.head.as_ref());
        statuses.is_none_or(|(sent, received)| sent.status == received.status)
    }

    fn accept(&mut self, progress: Progress) -> ResponsePart {
        if self.head.is_none() {
            self.head = progress.head;
        }
        self.ended = progress.outcome == Some(WorkOutcome::Complete);
        if self.ended {
            self.entry.record_completion(self.fingerprint);
        }
        if self.streamed.is_some() && !self.ended {
            for event in &progress.chunks {
                self.delivered.push(event.clone());
            }
        }
        ResponsePart::Chunks(progress.chunks)
    }

    /// Starts the next attempt.
    async fn start(&mut self) -> Result<ResponsePart, RequestError> {
        self.check_quarantine()?;
        let now = self.entry.clock.now();
        if self.caller.time_left(now) == Millis(0) {
            return Err(RequestError::new(ErrorKind::DeadlineBeforeRun, "the deadline has passed"));
        }
        let eligible = self.pools.candidates(&self.entry.fleet, now);
        let chosen = self.entry.fleet.choose(&eligible.candidates, &self.avoid);
        let member = chosen.and_then(|agent| self.entry.fleet.member(agent.address));
        let (Some(agent), Some(member)) = (chosen, member) else {
            return self.wait_for_candidates().await;
        };
        self.attempts += 1;
        self.head_generation += 1;
        let Some(request) = self.build_run_request(&agent, eligible.stages) else {
            return Err(RequestError::new(
                ErrorKind::BackendFailed,
                "the response cannot be continued on another backend server",
            ));
        };
        if let Some(plan) = &request.split {
            self.chain_cleanup.record(agent.address, plan);
        }
        self.avoid.tried.push(agent);
        let candidate = eligible.candidates.iter().find(|candidate| candidate.agent == agent);
        self.domain = candidate.map(|candidate| candidate.domain.clone()).unwrap_or_default();
        match Attempt::start(&self.entry, member, request).await {
            Ok(attempt) => {
                self.attempt = Some(attempt);
                Ok(ResponsePart::Chunks(Vec::new()))
            }
            Err(failure) => self.handle_failure(failure).await,
        }
    }

    fn build_run_request(
        &self,
        agent: &AgentRef,
        stages: Option<Vec<StageTargets>>,
    ) -> Option<RunRequest> {
        let delivered = self.streamed.map_or(0, |endpoint| self.delivered.tokens(endpoint));
        let split = self.pools.plan(stages, HeadGeneration(self.head_generation), delivered);
        let continuation = self.streamed.filter(|_| split.is_none() && !self.delivered.is_empty());
        let body = match continuation {
            Some(endpoint) => self.delivered.continuation(&self.caller.body, endpoint)?,
            None => self.caller.body.clone(),
        };
        Some(RunRequest {
            tag: new_tag(agent),
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
            completed: Vec::new(),
            split,
        })
    }

    /// Pauses and then allows all agents again, after each candidate was tried or
    /// none was found.
    async fn wait_for_candidates(&mut self) -> Result<ResponsePart, RequestError> {
        self.candidate_waits += 1;
        if self.candidate_waits >= MAX_CANDIDATE_WAITS {
            return Err(RequestError::new(
                ErrorKind::NoBackend,
                "no backend server accepts the request",
            ));
        }
        sleep(CANDIDATE_WAIT).await;
        self.avoid.tried.clear();
        Ok(ResponsePart::Chunks(Vec::new()))
    }

    /// Handles a failed attempt: returns the error, or lets the next call start
    /// another attempt.
    async fn handle_failure(
        &mut self,
        failure: AttemptError,
    ) -> Result<ResponsePart, RequestError> {
        if matches!(failure, AttemptError::AgentLost | AttemptError::BackendLost(_)) {
            self.avoid.failed_domains.push(std::mem::take(&mut self.domain));
        }
        if let AttemptError::BackendLost(Some(server)) = failure {
            self.crashed_backend = true;
            let pools = self.pools.names();
            self.entry.broadcast_crash(self.fingerprint, server, &pools).await;
            self.check_quarantine()?;
        }
        if must_run_apart(failure) {
            // Wait until the deadline for a backend server that runs no other
            // suspect; this does not count as an attempt.
            self.candidate_waits = 0;
            self.attempts -= 1;
            return Ok(ResponsePart::Chunks(Vec::new()));
        }
        let mut error = request_error(failure);
        if error.kind == ErrorKind::Quarantined {
            self.entry.exchange_crashes(self.fingerprint, &self.pools.names()).await;
            if self.crashed_backend {
                error.kind = ErrorKind::CrashedBackends;
            }
        }
        if !is_retryable(failure) || self.attempts >= MAX_ATTEMPTS {
            return Err(error);
        }
        let too_large = self.delivered.bytes() > self.entry.settings.limits.response_bytes;
        if too_large || !self.entry.retry_budget.borrow_mut().try_retry() {
            return Err(error);
        }
        self.entry.metrics.count_retry(error.kind.code());
        if self.streamed.is_some() {
            return Ok(ResponsePart::Chunks(Vec::new()));
        }
        self.head = None;
        Ok(ResponsePart::Restart)
    }

    fn check_quarantine(&self) -> Result<(), RequestError> {
        if !self.entry.is_quarantined(self.fingerprint) {
            return Ok(());
        }
        let kind =
            if self.crashed_backend { ErrorKind::CrashedBackends } else { ErrorKind::Quarantined };
        Err(RequestError::new(kind, "the request has crashed backend servers"))
    }
}

/// Replaces an error by which the request has not run.
fn with_unknown_outcome(error: RequestError) -> RequestError {
    if error.kind.response().outcome != Outcome::NotRun {
        return error;
    }
    let kind = match error.kind {
        ErrorKind::DeadlineBeforeRun => ErrorKind::DeadlineWhileRunning,
        ErrorKind::Quarantined | ErrorKind::SuspectedCrash => ErrorKind::CrashedBackends,
        _ => ErrorKind::BackendLost,
    };
    let message = format!("the response was lost, and then: {}", error.message);
    RequestError::new(kind, message)
}

fn must_run_apart(failure: AttemptError) -> bool {
    matches!(failure, AttemptError::NotRun { reason: NotRunReason::SuspectsApart, .. })
}

fn is_retryable(failure: AttemptError) -> bool {
    match failure {
        AttemptError::AgentLost | AttemptError::BackendLost(_) => true,
        AttemptError::DeadlinePassed | AttemptError::TooLarge => false,
        AttemptError::NotRun { reason, .. } => {
            !matches!(reason, NotRunReason::DeadlinePassed | NotRunReason::Quarantined)
        }
    }
}

fn request_error(failure: AttemptError) -> RequestError {
    match failure {
        AttemptError::NotRun { reason, retry_after } => {
            let (kind, message) = match reason {
                NotRunReason::Overloaded | NotRunReason::SuspectsApart => (
                    ErrorKind::Overloaded,
                    "no backend server has capacity to respond before the deadline",
                ),
                NotRunReason::DeadlinePassed => (
                    ErrorKind::DeadlineBeforeRun,
                    "the deadline passed while the request was queued",
                ),
                NotRunReason::Quarantined => {
                    (ErrorKind::Quarantined, "the request has crashed backend servers")
                }
                NotRunReason::Leaving
                | NotRunReason::NotCurrent
                | NotRunReason::BackendDown
                | NotRunReason::Cancelled => {
                    (ErrorKind::NoBackend, "no backend server accepts the request")
                }
            };
            RequestError::new(kind, message).with_retry_after(retry_after)
        }
        AttemptError::AgentLost => RequestError::new(
            ErrorKind::AgentUnreachable,
            "the agent of the backend server is unreachable",
        ),
        AttemptError::BackendLost(_) => RequestError::new(
            ErrorKind::BackendLost,
            "the connection to the backend server failed during execution",
        ),
        AttemptError::DeadlinePassed => RequestError::new(
            ErrorKind::DeadlineWhileRunning,
            "the deadline passed during execution",
        ),
        AttemptError::TooLarge => {
            RequestError::new(ErrorKind::BackendFailed, "the response is too large")
        }
    }
}
