//! Operations with at-most-once execution: claim, dispatch and resolution.
//!
//! An entry claims the caller's idempotency key in the table service before
//! it dispatches the operation to an agent. The claim names the agent, its
//! incarnation and a fencing token. A later request that finds the claim reads
//! the outcome from the claim row or asks that agent. Only that agent can report
//! that the operation has not been executed, and it seals the token in doing so,
//! which rules out a later execution.

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
