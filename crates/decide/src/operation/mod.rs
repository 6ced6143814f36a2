//! Operations that may run at most once: claim, dispatch and settlement.
//!
//! An entry claims the caller's idempotency key in the table service before
//! it dispatches the operation to an agent. The claim names the agent, its
//! incarnation and a token. Whoever finds the claim later learns the outcome
//! from the record or from that agent; only that agent may say that the
//! operation has not run, and by saying so it seals the token.

mod claim_row;
mod driver;
mod life;
mod ports;
mod settled;

pub use claim_row::{BodyDigest, ClaimKey, ClaimRow, ClaimState, RecordedAnswer};
pub use driver::{OperationDriver, OperationLimits, OperationRequest};
pub use life::{Claimed, Operation, Sent, Unclaimed};
pub use ports::{AttachReply, Claims, Gates, RunReply, StoreFault, WriteReply};
pub use settled::{Settled, SettledBy};
