//! Operations that may run at most once: claim, dispatch and settlement.
//!
//! An entry claims the caller's idempotency key in the table service before
//! it dispatches the operation to an agent. The claim names the agent, its
//! incarnation and a token. Whoever finds the claim later learns the outcome
//! from the record or from that agent; only that agent may say that the
//! operation has not run, and by saying so it seals the token.

mod claim_row;
mod driver;
mod lifecycle;
mod ports;
mod result;

pub use claim_row::{ClaimKey, ClaimRow, ClaimState, RecordedResponse, RequestDigest};
pub use driver::{OperationDriver, OperationLimits, OperationRequest};
pub use lifecycle::{Claimed, Operation, Sent, Unclaimed};
pub use ports::{AgentPool, AttachReply, ClaimStore, RunReply, StoreCallError, WriteReply};
pub use result::{AnswerSource, OperationResult};
