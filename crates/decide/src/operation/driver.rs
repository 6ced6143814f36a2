//! Claims, dispatches and resolves an operation on behalf of one request.

use clementine_objects::Millis;

use super::{
    AgentPool, AnswerSource, AttachReply, ClaimKey, ClaimRow, ClaimState, ClaimStore, Claimed,
    Operation, OperationResult, RecordedResponse, RequestDigest, RunReply, StoreCallError,
    Unclaimed, WriteReply,
};
use crate::ids::AgentRef;
use crate::outcome::ErrorKind;

/// Limits of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperationLimits {
    /// Maximum number of further steps after the first claim: claiming again
    /// after a refusal, or resolving another request's claim.
    pub attempts: u32,
    /// Maximum number of tries to write a claim when the table service's response
    /// is lost.
    pub store_calls: u32,
}

impl Default for OperationLimits {
    fn default() -> Self {
        Self { attempts: 3, store_calls: 3 }
    }
}

/// A request to execute an operation.
#[derive(Debug, Clone, Copy)]
pub struct OperationRequest<'a> {
    /// Key of the claim.
    pub key: &'a ClaimKey,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Whether the caller declares that it has not sent a request with this key
    /// before.
    pub first_attempt: bool,
}

/// Executes an operation at most once on behalf of one request.
#[derive(Debug)]
pub struct OperationDriver<'a, C, A> {
    claims: &'a C,
    agents: &'a A,
    request: OperationRequest<'a>,
    limits: OperationLimits,
    refused: Vec<AgentRef>,
    retry_after: Option<Millis>,
}

/// Result of trying to claim the key.
enum ClaimResult {
    Won(Operation<Claimed>),
    /// Another request holds the claim.
    Taken(ClaimRow),
    /// The table service rejected the write or its responses were lost.
    Failed,
}

/// Next step in resolving the operation.
enum Step {
    Done(OperationResult),
    /// The row's token is sealed: replace the claim with a new one.
    Reclaim(ClaimRow),
    /// The table contains this row: resolve the operation from it.
    Resolve(ClaimRow),
}

impl<'a, C: ClaimStore, A: AgentPool> OperationDriver<'a, C, A> {
    /// Creates a driver for one request.
    pub const fn new(
        claims: &'a C,
        agents: &'a A,
        request: OperationRequest<'a>,
        limits: OperationLimits,
    ) -> Self {
        Self { claims, agents, request, limits, refused: Vec::new(), retry_after: None }
    }

    /// Claims, dispatches and resolves the operation.
    pub async fn drive(mut self) -> OperationResult {
        let mut step = self.first_attempt().await;
        for _ in 0..self.limits.attempts.max(1) {
            step = match step {
                Step::Done(result) => return result,
                Step::Reclaim(row) => self.reclaim(&row).await,
                Step::Resolve(row) => self.resolve(row).await,
            };
        }
        match step {
            Step::Done(result) => result,
            Step::Reclaim(_) => self.overloaded(),
            Step::Resolve(row) => self.resolve_without_claim(row).await,
        }
    }

    async fn first_attempt(&mut self) -> Step {
        let Some(operation) = self.new_attempt() else {
            return self.without_backend().await;
        };
        match self.claim(operation, None).await {
            ClaimResult::Won(operation) => self.send(operation).await,
            ClaimResult::Taken(row) => Step::Resolve(row),
            ClaimResult::Failed => Step::Done(self.store_unreachable()),
        }
    }

    /// Looks up an earlier claim when no agent is available: the operation may
    /// already have been executed.
    async fn without_backend(&self) -> Step {
        match self.claims.read(self.request.key).await {
            Ok(Some(row)) => Step::Resolve(row),
            Ok(None) => Step::Done(OperationResult::failed(ErrorKind::NoBackend)),
            Err(_) => Step::Done(self.store_unreachable()),
        }
    }

    /// The result when the claim can be neither written nor read. Only the caller
    /// knows whether an earlier request may have executed the operation.
    const fn store_unreachable(&self) -> OperationResult {
        if self.request.first_attempt {
            OperationResult::failed(ErrorKind::StoreUnavailable)
        } else {
            OperationResult::failed(ErrorKind::ClaimUnreadable)
        }
    }

    /// Replaces a sealed claim with a new one and dispatches the operation again.
    async fn reclaim(&mut self, sealed: &ClaimRow) -> Step {
        let Some(operation) = self.new_attempt() else {
            return Step::Done(OperationResult::failed(ErrorKind::NoBackend));
        };
        match self.claim(operation, Some(sealed)).await {
            ClaimResult::Won(operation) => self.send(operation).await,
            ClaimResult::Taken(row) => Step::Resolve(row),
            ClaimResult::Failed => Step::Done(OperationResult::failed(ErrorKind::StoreUnavailable)),
        }
    }

    fn new_attempt(&self) -> Option<Operation<Unclaimed>> {
        let agent = self.agents.choose(&self.refused)?;
        Some(Operation::new(self.request.digest, self.agents.new_token(), agent))
    }

    /// Writes the claim, replacing the sealed one if given.
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
                // An earlier try whose response was lost has written the row.
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
            RunReply::Answered(response) => {
                self.record(&sent.recorded(ClaimState::Ran(response.clone()))).await;
                Step::Done(answered(response.clone(), AnswerSource::OwnRun))
            }
            RunReply::Refused { retry_after } => {
                self.retry_after = *retry_after;
                self.refused.push(*sent.agent());
                Step::Reclaim(sent.row().clone())
            }
            RunReply::BackendLost => {
                self.record(&sent.recorded(ClaimState::Unknown)).await;
                Step::Done(OperationResult::failed(ErrorKind::BackendLost))
            }
            // The request may still reach the agent, so only the agent can tell
            // whether the operation is executed.
            RunReply::Unreachable => self.attach(sent.row().clone()).await,
        }
    }

    /// Resolves the operation from a row that another attempt wrote.
    async fn resolve(&mut self, row: ClaimRow) -> Step {
        if row.digest != self.request.digest {
            return Step::Done(OperationResult::failed(ErrorKind::KeyReused));
        }
        match row.state {
            ClaimState::Ran(response) => Step::Done(answered(response, AnswerSource::Record)),
            ClaimState::Unknown => Step::Done(OperationResult::failed(ErrorKind::AgentReplaced)),
            ClaimState::Held => self.attach(row).await,
        }
    }

    /// Waits for the result of the operation at the agent that holds the claim.
    async fn attach(&mut self, row: ClaimRow) -> Step {
        match self.agents.attach(&row.agent, row.tag()).await {
            AttachReply::Answered(response) => {
                let ran = ClaimState::Ran(response.clone());
                self.record(&ClaimRow { state: ran, ..row }).await;
                Step::Done(answered(response, AnswerSource::Attachment))
            }
            AttachReply::Sealed => Step::Reclaim(row),
            AttachReply::Forgotten | AttachReply::Replaced => {
                self.record_unknown(row, ErrorKind::AgentReplaced).await
            }
            AttachReply::BackendLost => self.record_unknown(row, ErrorKind::BackendLost).await,
            AttachReply::Unreachable => {
                Step::Done(OperationResult::failed(ErrorKind::AgentUnreachable))
            }
        }
    }

    /// Records that the outcome is unknown, unless the row has changed meanwhile.
    async fn record_unknown(&self, row: ClaimRow, kind: ErrorKind) -> Step {
        let unknown = ClaimRow { state: ClaimState::Unknown, ..row };
        let written = self.claims.replace(self.request.key, unknown.token, &unknown).await;
        match written {
            Ok(WriteReply::Conflict(Some(current))) if current != unknown => Step::Resolve(current),
            _ => Step::Done(OperationResult::failed(kind)),
        }
    }

    /// Stores a known outcome in the claim row. Errors are ignored: the agent named
    /// in the row still knows the outcome.
    async fn record(&self, row: &ClaimRow) {
        let _ = self.claims.replace(self.request.key, row.token, row).await;
    }

    /// Resolves the operation when no attempts are left, without claiming again.
    async fn resolve_without_claim(&mut self, row: ClaimRow) -> OperationResult {
        match self.resolve(row).await {
            Step::Done(result) => result,
            Step::Reclaim(_) => self.overloaded(),
            Step::Resolve(_) => OperationResult::failed(ErrorKind::AgentUnreachable),
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
