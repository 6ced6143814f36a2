//! Drives an operation from the caller's request to its settlement.

use clementine_objects::Millis;

use super::{
    AgentPool, AnswerSource, AttachReply, ClaimKey, ClaimRow, ClaimState, ClaimStore, Claimed,
    Operation, OperationResult, RecordedResponse, RequestDigest, RunReply, StoreCallError,
    Unclaimed, WriteReply,
};
use crate::ids::AgentRef;
use crate::outcome::ErrorKind;

/// Bounds of one drive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperationLimits {
    /// Agents tried after refusals.
    pub attempts: u32,
    /// Calls to the table service that settle a lost answer.
    pub store_calls: u32,
}

impl Default for OperationLimits {
    fn default() -> Self {
        Self { attempts: 3, store_calls: 3 }
    }
}

/// A request for an operation.
#[derive(Debug, Clone, Copy)]
pub struct OperationRequest<'a> {
    /// Key of the claim.
    pub key: &'a ClaimKey,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Whether the caller declares that it has sent no request with the key
    /// before.
    pub first_attempt: bool,
}

/// Drives one request for an operation.
#[derive(Debug)]
pub struct OperationDriver<'a, C, A> {
    claims: &'a C,
    agents: &'a A,
    request: OperationRequest<'a>,
    limits: OperationLimits,
    refused: Vec<AgentRef>,
    retry_after: Option<Millis>,
}

/// Result of an attempt to claim.
enum ClaimResult {
    Won(Operation<Claimed>),
    Taken(ClaimRow),
    Failed,
}

/// Whether the drive ends or goes on.
enum Step {
    Done(OperationResult),
    /// The row's token is sealed: claim again in its place.
    TakeOver(ClaimRow),
    /// Another row stands in the table.
    Settle(ClaimRow),
}

impl<'a, C: ClaimStore, A: AgentPool> OperationDriver<'a, C, A> {
    /// A driver for one request.
    pub const fn new(
        claims: &'a C,
        agents: &'a A,
        request: OperationRequest<'a>,
        limits: OperationLimits,
    ) -> Self {
        Self { claims, agents, request, limits, refused: Vec::new(), retry_after: None }
    }

    /// Claims, sends and settles the operation.
    pub async fn drive(mut self) -> OperationResult {
        let mut step = self.first_attempt().await;
        for _ in 0..self.limits.attempts.max(1) {
            step = match step {
                Step::Done(settled) => return settled,
                Step::TakeOver(row) => self.take_over(&row).await,
                Step::Settle(row) => self.settle(row).await,
            };
        }
        match step {
            Step::Done(settled) => settled,
            Step::TakeOver(_) => self.overloaded(),
            Step::Settle(row) => self.settle_finally(row).await,
        }
    }

    async fn first_attempt(&mut self) -> Step {
        let Some(operation) = self.new_attempt() else {
            return self.without_backend().await;
        };
        match self.claim(operation, None).await {
            ClaimResult::Won(operation) => self.send(operation).await,
            ClaimResult::Taken(row) => Step::Settle(row),
            ClaimResult::Failed => Step::Done(self.store_unreachable()),
        }
    }

    /// With no agent to run it, the operation may still have run before.
    async fn without_backend(&self) -> Step {
        match self.claims.read(self.request.key).await {
            Ok(Some(row)) => Step::Settle(row),
            Ok(None) => Step::Done(OperationResult::failed(ErrorKind::NoBackend)),
            Err(_) => Step::Done(self.store_unreachable()),
        }
    }

    /// Without the table service, only the caller knows whether an earlier
    /// request may have run.
    const fn store_unreachable(&self) -> OperationResult {
        if self.request.first_attempt {
            OperationResult::failed(ErrorKind::StoreUnavailable)
        } else {
            OperationResult::failed(ErrorKind::ClaimUnreadable)
        }
    }

    async fn take_over(&mut self, sealed: &ClaimRow) -> Step {
        let Some(operation) = self.new_attempt() else {
            return Step::Done(OperationResult::failed(ErrorKind::NoBackend));
        };
        match self.claim(operation, Some(sealed)).await {
            ClaimResult::Won(operation) => self.send(operation).await,
            ClaimResult::Taken(row) => Step::Settle(row),
            ClaimResult::Failed => Step::Done(OperationResult::failed(ErrorKind::StoreUnavailable)),
        }
    }

    fn new_attempt(&self) -> Option<Operation<Unclaimed>> {
        let agent = self.agents.choose(&self.refused)?;
        Some(Operation::new(self.request.digest, self.agents.new_token(), agent))
    }

    /// Writes the claim, in place of a sealed one where there is one.
    async fn claim(
        &self,
        operation: Operation<Unclaimed>,
        sealed: Option<&ClaimRow>,
    ) -> ClaimResult {
        for _ in 0..self.limits.store_calls.max(1) {
            let written = match sealed {
                None => self.claims.insert(self.request.key, operation.row()).await,
                Some(sealed) => {
                    self.claims.replace(self.request.key, sealed.token, operation.row()).await
                }
            };
            match written {
                Ok(WriteReply::Written) => return ClaimResult::Won(operation.claimed()),
                // An earlier try whose answer was lost may have written it.
                Ok(WriteReply::Conflict(Some(row))) if row == *operation.row() => {
                    return ClaimResult::Won(operation.claimed());
                }
                Ok(WriteReply::Conflict(Some(row))) => return ClaimResult::Taken(row),
                Ok(WriteReply::Conflict(None)) | Err(StoreCallError::NotApplied) => {
                    return ClaimResult::Failed;
                }
                Err(StoreCallError::Indeterminate) => {}
            }
        }
        ClaimResult::Failed
    }

    async fn send(&mut self, operation: Operation<Claimed>) -> Step {
        let sent = operation.send(self.agents).await;
        match sent.reply() {
            RunReply::Answered(answer) => {
                self.record(&sent.recorded(ClaimState::Ran(answer.clone()))).await;
                Step::Done(answered(answer.clone(), AnswerSource::OwnRun))
            }
            RunReply::Refused { retry_after } => {
                self.retry_after = *retry_after;
                self.refused.push(*sent.agent());
                Step::TakeOver(sent.row().clone())
            }
            RunReply::BackendLost => {
                self.record(&sent.recorded(ClaimState::Unknown)).await;
                Step::Done(OperationResult::failed(ErrorKind::BackendLost))
            }
            // The order may be under way: only the agent can tell.
            RunReply::Unreachable => self.attach(sent.row().clone()).await,
        }
    }

    /// Settles on a row that another attempt wrote.
    async fn settle(&mut self, row: ClaimRow) -> Step {
        if row.digest != self.request.digest {
            return Step::Done(OperationResult::failed(ErrorKind::KeyReused));
        }
        match row.state {
            ClaimState::Ran(answer) => Step::Done(answered(answer, AnswerSource::Record)),
            ClaimState::Unknown => Step::Done(OperationResult::failed(ErrorKind::AgentReplaced)),
            ClaimState::Held => self.attach(row).await,
        }
    }

    async fn attach(&mut self, row: ClaimRow) -> Step {
        match self.agents.attach(&row.agent, row.tag()).await {
            AttachReply::Answered(answer) => {
                let ran = ClaimState::Ran(answer.clone());
                self.record(&ClaimRow { state: ran, ..row }).await;
                Step::Done(answered(answer, AnswerSource::Attachment))
            }
            AttachReply::Sealed => Step::TakeOver(row),
            AttachReply::Forgotten | AttachReply::Replaced => {
                self.record_unknown(row, ErrorKind::AgentReplaced).await
            }
            AttachReply::BackendLost => self.record_unknown(row, ErrorKind::BackendLost).await,
            AttachReply::Unreachable => {
                Step::Done(OperationResult::failed(ErrorKind::AgentUnreachable))
            }
        }
    }

    /// Records that the outcome is lost, unless the row has moved on.
    async fn record_unknown(&self, row: ClaimRow, kind: ErrorKind) -> Step {
        let unknown = ClaimRow { state: ClaimState::Unknown, ..row };
        let written = self.claims.replace(self.request.key, unknown.token, &unknown).await;
        match written {
            Ok(WriteReply::Conflict(Some(current))) if current != unknown => Step::Settle(current),
            _ => Step::Done(OperationResult::failed(kind)),
        }
    }

    /// Keeps a known outcome. A lost write costs nothing but the memory of
    /// it: the agent named in the row still knows.
    async fn record(&self, row: &ClaimRow) {
        let _ = self.claims.replace(self.request.key, row.token, row).await;
    }

    /// Settles without claiming again when all attempts are used up.
    async fn settle_finally(&mut self, row: ClaimRow) -> OperationResult {
        match self.settle(row).await {
            Step::Done(settled) => settled,
            Step::TakeOver(_) => self.overloaded(),
            Step::Settle(_) => OperationResult::failed(ErrorKind::AgentUnreachable),
        }
    }

    fn overloaded(&self) -> OperationResult {
        let kind = ErrorKind::Overloaded;
        let retry_after = self.retry_after.or(kind.response().retry_after);
        OperationResult::Failed { kind, retry_after }
    }
}

const fn answered(response: RecordedResponse, source: AnswerSource) -> OperationResult {
    OperationResult::Answered { response, source }
}
