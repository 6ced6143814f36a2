//! What the operation driver needs from its surroundings.

use clementine_objects::Millis;
use snafu::Snafu;

use super::{ClaimKey, ClaimRow, RecordedResponse};
use crate::dedup::WorkTag;
use crate::ids::{AgentRef, WorkId};

/// Why a call to the table service gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StoreCallError {
    /// The call surely had no effect.
    #[snafu(display("the table service refused the call"))]
    NotApplied,
    /// The call may have had its effect, now or later.
    #[snafu(display("the answer of the table service was lost"))]
    Indeterminate,
}

/// Answer to a conditional write of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteReply {
    /// The write took effect.
    Written,
    /// The condition failed; this row stands in the table, if any does.
    Conflict(Option<ClaimRow>),
}

/// Answer to an order to run an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunReply {
    /// The operation ran with this answer.
    Answered(RecordedResponse),
    /// The operation did not run, and the token is sealed.
    Refused {
        /// When the agent expects to have room.
        retry_after: Option<Millis>,
    },
    /// The backend server was given the operation and gave no answer.
    BackendLost,
    /// The agent gave no answer before the time for it ran out.
    Unreachable,
}

/// Answer to a request to attach to an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttachReply {
    /// The operation ran with this answer.
    Answered(RecordedResponse),
    /// The operation did not run, and the token is sealed.
    Sealed,
    /// The agent can't tell whether the operation ran, and never will.
    Forgotten,
    /// The incarnation is gone; another has its address.
    Replaced,
    /// The backend server was given the operation and gave no answer.
    BackendLost,
    /// The agent gave no answer before the time for it ran out.
    Unreachable,
}

/// The claims in the table service.
///
/// Each call tries once, within a time limit of the implementation.
#[expect(async_fn_in_trait, reason = "drivers are single-threaded")]
pub trait ClaimStore {
    /// Stores a row if the key has none.
    async fn insert(&self, key: &ClaimKey, row: &ClaimRow) -> Result<WriteReply, StoreCallError>;

    /// Stores a row if the present one is held under the expected token.
    async fn replace(
        &self,
        key: &ClaimKey,
        expected: WorkId,
        row: &ClaimRow,
    ) -> Result<WriteReply, StoreCallError>;

    /// Reads the row of a key, with all writes that were answered before.
    async fn read(&self, key: &ClaimKey) -> Result<Option<ClaimRow>, StoreCallError>;
}

/// The agents of the route's pool, on behalf of one request.
#[expect(async_fn_in_trait, reason = "drivers are single-threaded")]
pub trait AgentPool {
    /// Chooses an agent that takes new work, other than the refused ones
    /// where possible.
    fn choose(&self, refused: &[AgentRef]) -> Option<AgentRef>;

    /// Draws a fresh token.
    fn new_token(&self) -> WorkId;

    /// Orders an agent to run the request under a tag.
    async fn run(&self, agent: &AgentRef, tag: WorkTag) -> RunReply;

    /// Attaches to work, sealing it where it was not accepted.
    async fn attach(&self, agent: &AgentRef, tag: WorkTag) -> AttachReply;
}
