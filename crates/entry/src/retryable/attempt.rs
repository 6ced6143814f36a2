//! One attempt to execute a request through one agent.

use std::rc::Rc;

use clementine_decide::dedup::WorkTag;
use clementine_decide::fleet::BackendIncarnation;
use clementine_decide::ids::{AgentRef, WorkId};
use clementine_objects::Millis;
use clementine_wire::{LinkError, NotRunReason, Progress, RunRequest, RunResponse, WorkOutcome};
use tokio::task::spawn_local;

use super::{ReadError, WorkReader};
use crate::entry::Entry;
use crate::fleet::{Member, OutstandingGuard};

/// Maximum expected response time of a `run` call. The agent waits slightly less
/// than this for the first progress.
pub(crate) const RUN_TIMEOUT: Millis = Millis(250);

/// Error of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// The request was refused and not executed.
    NotRun { reason: NotRunReason, retry_after: Option<Millis> },
    /// The agent is unreachable or no longer holds the work.
    AgentLost,
    /// The connection to the backend server failed; it may have executed the
    /// request. Names the server if it may have crashed under the request.
    BackendLost(Option<BackendIncarnation>),
    /// The deadline passed during execution.
    DeadlinePassed,
    /// The response exceeds the size that the agent buffers.
    TooLarge,
}

/// One attempt to execute a request through one agent. Dropping it before its end
/// cancels the work.
#[derive(Debug)]
pub(super) struct Attempt {
    member: Rc<Member>,
    work: WorkId,
    reader: WorkReader,
    first: Option<Progress>,
    ended: bool,
    _outstanding: OutstandingGuard,
}

impl Attempt {
    /// Sends a request to an agent.
    pub(super) async fn start(
        entry: &Entry,
        member: Rc<Member>,
        mut request: RunRequest,
    ) -> Result<Self, AttemptError> {
        let work = request.tag.work;
        request.completed = member.take_completed();
        let mut attempt = Self {
            reader: WorkReader::new(Rc::clone(&member), work, 0),
            _outstanding: member.begin_request(),
            member,
            work,
            first: None,
            ended: false,
        };
        let link = &attempt.member.link;
        let run = link.call(RUN_TIMEOUT, |client, cx| async move { client.run(cx, request).await });
        match run.await {
            Ok(RunResponse::Started(progress, status)) => {
                attempt.member.record_status(status);
                attempt.reader.skip(&progress);
                attempt.first = Some(progress);
                Ok(attempt)
            }
            Ok(RunResponse::Refused(refusal, status)) => {
                attempt.member.record_status(status);
                attempt.ended = true;
                let (reason, retry_after) = (refusal.reason, refusal.retry_after);
                Err(AttemptError::NotRun { reason, retry_after })
            }
            // The request may have arrived; reading on a new connection shows
            // whether the agent holds the work.
            Err(LinkError::ConnectionLost) => Ok(attempt),
            Err(LinkError::NotSent) => {
                attempt.ended = true;
                attempt.member.record_failure(entry.clock.now());
                Err(AttemptError::AgentLost)
            }
        }
    }

    /// Returns the next progress. Must not be called after progress with an end.
    pub(super) async fn next(&mut self, entry: &Entry) -> Result<Progress, AttemptError> {
        let progress = match self.first.take() {
            Some(progress) => Ok(progress),
            None => self.reader.next(entry).await,
        };
        let progress = progress.map_err(|error| {
            self.ended = error == ReadError::NotHeld;
            self.member.record_failure(entry.clock.now());
            AttemptError::AgentLost
        })?;
        if let Some(outcome) = progress.outcome {
            self.ended = true;
            self.check_outcome(entry, outcome)?;
        }
        Ok(progress)
    }

    fn check_outcome(&self, entry: &Entry, outcome: WorkOutcome) -> Result<(), AttemptError> {
        match outcome {
            WorkOutcome::Complete => {
                self.member.record_success();
                self.member.record_completed(self.work);
                Ok(())
            }
            WorkOutcome::NotRun { reason, retry_after } => {
                Err(AttemptError::NotRun { reason, retry_after })
            }
            WorkOutcome::BackendLost(server) => {
                self.member.record_failure(entry.clock.now());
                Err(AttemptError::BackendLost(server))
            }
            WorkOutcome::DeadlinePassed | WorkOutcome::Cancelled => {
                Err(AttemptError::DeadlinePassed)
            }
            WorkOutcome::TooLarge => Err(AttemptError::TooLarge),
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (member, work) = (Rc::clone(&self.member), self.work);
        spawn_local(async move {
            let cancel = member
                .link
                .call(Millis(0), |client, cx| async move { client.cancel(cx, work).await });
            // An unreachable agent ends the work itself at the deadline.
            let _ = cancel.await;
        });
    }
}

/// Creates a tag with a new work id for an agent.
pub(super) fn new_tag(agent: &AgentRef) -> WorkTag {
    WorkTag::new(WorkId(rand::random()), agent)
}
