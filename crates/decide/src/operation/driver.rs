//! Drives an operation from the caller's request to its settlement.

use clementine_objects::Millis;

use super::{
    AttachReply, BodyDigest, ClaimKey, ClaimRow, ClaimState, Claimed, Claims, Gates, Operation,
    RecordedAnswer, RunReply, Settled, SettledBy, StoreFault, Unclaimed, WriteReply,
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
    pub digest: BodyDigest,
    /// Whether the caller declares that it has sent no request with the key
    /// before.
    pub first_attempt: bool,
}

/// Drives one request for an operation.
#[derive(Debug)]
pub struct OperationDriver<'a, C, G> {
    claims: &'a C,
    gates: &'a G,
    request: OperationRequest<'a>,
    limits: OperationLimits,
    refused: Vec<AgentRef>,
    retry_after: Option<Millis>,
}

/// Result of an attempt to claim.
enum Claim {
    Ours(Operation<Claimed>),
    Taken(ClaimRow),
    Failed,
}

/// Whether the drive ends or goes on.
enum Step {
    Done(Settled),
    /// The row's token is sealed: claim again in its place.
    TakeOver(ClaimRow),
    /// Another row stands in the table.
    Settle(ClaimRow),
}

impl<'a, C: Claims, G: Gates> OperationDriver<'a, C, G> {
    /// A driver for one request.
    pub const fn new(
        claims: &'a C,
        gates: &'a G,
        request: OperationRequest<'a>,
        limits: OperationLimits,
    ) -> Self {
        Self { claims, gates, request, limits, refused: Vec::new(), retry_after: None }
    }

    /// Claims, sends and settles the operation.
    pub async fn drive(mut self) -> Settled {
        let mut step = self.first().await;
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
            Step::Settle(row) => self.last_word(row).await,
        }
    }

    async fn first(&mut self) -> Step {
        let Some(operation) = self.fresh() else {
            return self.without_backend().await;
        };
        match self.claim(operation, None).await {
            Claim::Ours(operation) => self.send(operation).await,
            Claim::Taken(row) => Step::Settle(row),
            Claim::Failed => Step::Done(self.unsettled()),
        }
    }

    /// With no agent to run it, the operation may still have run before.
    async fn without_backend(&self) -> Step {
        match self.claims.read(self.request.key).await {
            Ok(Some(row)) => Step::Settle(row),
            Ok(None) => Step::Done(Settled::failed(ErrorKind::NoBackend)),
            Err(_) => Step::Done(self.unsettled()),
        }
    }

    /// Without the table service, only the caller knows whether an earlier
    /// request may have run.
    const fn unsettled(&self) -> Settled {
        if self.request.first_attempt {
            Settled::failed(ErrorKind::StoreUnavailable)
        } else {
            Settled::failed(ErrorKind::ClaimUnreadable)
        }
    }

    async fn take_over(&mut self, sealed: &ClaimRow) -> Step {
        let Some(operation) = self.fresh() else {
            return Step::Done(Settled::failed(ErrorKind::NoBackend));
        };
        match self.claim(operation, Some(sealed)).await {
            Claim::Ours(operation) => self.send(operation).await,
            Claim::Taken(row) => Step::Settle(row),
            Claim::Failed => Step::Done(Settled::failed(ErrorKind::StoreUnavailable)),
        }
    }

    fn fresh(&self) -> Option<Operation<Unclaimed>> {
        let agent = self.gates.choose(&self.refused)?;
        Some(Operation::new(self.request.digest, self.gates.fresh_token(), agent))
    }

    /// Writes the claim, in place of a sealed one where there is one.
    async fn claim(&self, operation: Operation<Unclaimed>, sealed: Option<&ClaimRow>) -> Claim {
        for _ in 0..self.limits.store_calls.max(1) {
            let written = match sealed {
                None => self.claims.insert(self.request.key, operation.row()).await,
                Some(sealed) => {
                    self.claims.replace(self.request.key, sealed.token, operation.row()).await
                }
            };
            match written {
                Ok(WriteReply::Written) => return Claim::Ours(operation.claimed()),
                // An earlier try whose answer was lost may have written it.
                Ok(WriteReply::Conflict(Some(row))) if row == *operation.row() => {
                    return Claim::Ours(operation.claimed());
                }
                Ok(WriteReply::Conflict(Some(row))) => return Claim::Taken(row),
                Ok(WriteReply::Conflict(None)) | Err(StoreFault::NoEffect) => return Claim::Failed,
                Err(StoreFault::Unclear) => {}
            }
        }
        Claim::Failed
    }

    async fn send(&mut self, operation: Operation<Claimed>) -> Step {
        let sent = operation.send(self.gates).await;
        match sent.reply() {
            RunReply::Answered(answer) => {
                self.record(&sent.recorded(ClaimState::Ran(answer.clone()))).await;
                Step::Done(answered(answer.clone(), SettledBy::OwnRun))
            }
            RunReply::Refused { retry_after } => {
                self.retry_after = *retry_after;
                self.refused.push(*sent.agent());
                Step::TakeOver(sent.row().clone())
            }
            RunReply::BackendLost => {
                self.record(&sent.recorded(ClaimState::Unknown)).await;
                Step::Done(Settled::failed(ErrorKind::BackendLost))
            }
            // The order may be under way: only the agent can tell.
            RunReply::Unreachable => self.attach(sent.row().clone()).await,
        }
    }

    /// Settles on a row that another attempt wrote.
    async fn settle(&mut self, row: ClaimRow) -> Step {
        if row.digest != self.request.digest {
            return Step::Done(Settled::failed(ErrorKind::KeyReused));
        }
        match row.state {
            ClaimState::Ran(answer) => Step::Done(answered(answer, SettledBy::Record)),
            ClaimState::Unknown => Step::Done(Settled::failed(ErrorKind::AgentReplaced)),
            ClaimState::Held => self.attach(row).await,
        }
    }

    async fn attach(&mut self, row: ClaimRow) -> Step {
        match self.gates.attach(&row.agent, row.tag()).await {
            AttachReply::Answered(answer) => {
                let ran = ClaimState::Ran(answer.clone());
                self.record(&ClaimRow { state: ran, ..row }).await;
                Step::Done(answered(answer, SettledBy::Attachment))
            }
            AttachReply::Sealed => Step::TakeOver(row),
            AttachReply::Forgotten | AttachReply::Replaced => {
                self.record_unknown(row, ErrorKind::AgentReplaced).await
            }
            AttachReply::BackendLost => self.record_unknown(row, ErrorKind::BackendLost).await,
            AttachReply::Unreachable => Step::Done(Settled::failed(ErrorKind::AgentUnreachable)),
        }
    }

    /// Records that the outcome is lost, unless the row has moved on.
    async fn record_unknown(&self, row: ClaimRow, kind: ErrorKind) -> Step {
        let unknown = ClaimRow { state: ClaimState::Unknown, ..row };
        let written = self.claims.replace(self.request.key, unknown.token, &unknown).await;
        match written {
            Ok(WriteReply::Conflict(Some(current))) if current != unknown => Step::Settle(current),
            _ => Step::Done(Settled::failed(kind)),
        }
    }

    /// Keeps a known outcome. A lost write costs nothing but the memory of
    /// it: the agent named in the row still knows.
    async fn record(&self, row: &ClaimRow) {
        let _ = self.claims.replace(self.request.key, row.token, row).await;
    }

    /// Settles without claiming again when all attempts are used up.
    async fn last_word(&mut self, row: ClaimRow) -> Settled {
        match self.settle(row).await {
            Step::Done(settled) => settled,
            Step::TakeOver(_) => self.overloaded(),
            Step::Settle(_) => Settled::failed(ErrorKind::AgentUnreachable),
        }
    }

    fn overloaded(&self) -> Settled {
        let kind = ErrorKind::Overloaded;
        let retry_after = self.retry_after.or(kind.rule().retry_after);
        Settled::Failed { kind, retry_after }
    }
}

const fn answered(answer: RecordedAnswer, by: SettledBy) -> Settled {
    Settled::Answered { answer, by }
}
