//! Interfaces to the table service and the agents that the driver needs.

use clementine_objects::Millis;
use snafu::Snafu;

use super::{ClaimKey, ClaimRow, RecordedResponse};
use crate::dedup::WorkTag;
use crate::ids::{AgentRef, WorkId};

/// Why a call to the table service or another store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StoreCallError {
    /// The call had no effect and will have none.
    #[snafu(display("the table service rejected the call"))]
    NotApplied,
    /// The call may have taken effect, or may still do so.
    #[snafu(display("the response of the table service was lost"))]
    Indeterminate,
}

/// Result of a conditional write of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteReply {
    /// The write took effect.
    Written,
    /// The condition failed; contains the existing row, if there is one.
    Conflict(Option<ClaimRow>),
}

/// Reply to a request to execute an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunReply {
    /// The operation was executed, with this response.
    Answered(RecordedResponse),
    /// The operation was not executed, and its token is sealed.
    Refused {
        /// Time until the agent expects to have capacity.
        retry_after: Option<Millis>,
    },
    /// The backend server received the operation but did not respond.
    BackendLost,
    /// The agent did not respond within the timeout.
    Unreachable,
}

/// Reply to a request to attach to an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttachReply {
    /// The operation was executed, with this response.
    Answered(RecordedResponse),
    /// The operation was not executed, and its token is sealed.
    Sealed,
    /// The agent has discarded its record and cannot determine whether the
    /// operation was executed.
    Forgotten,
    /// The incarnation has ended; its address is unused or belongs to another
    /// incarnation.
    Replaced,
    /// The backend server received the operation but did not respond.
    BackendLost,
    /// The agent did not respond within the timeout.
    Unreachable,
}

/// The claims in the table service.
///
/// Implementations make a single attempt per call and enforce their own
/// timeout.
#[expect(
    async_fn_in_trait,
    reason = "implementations are single-threaded and need no `Send` bound"
)]
pub trait ClaimStore {
    /// Inserts a row if the key has none.
    async fn insert(&self, key: &ClaimKey, row: &ClaimRow) -> Result<WriteReply, StoreCallError>;

    /// Replaces the row if the existing one is held under the expected token.
    async fn replace(
        &self,
        key: &ClaimKey,
        expected: WorkId,
        row: &ClaimRow,
    ) -> Result<WriteReply, StoreCallError>;

    /// Reads the row of a key. The read is strongly consistent: it reflects all
    /// writes acknowledged before.
    async fn read(&self, key: &ClaimKey) -> Result<Option<ClaimRow>, StoreCallError>;
}

/// The agents of the route's pool, as used by one request.
#[expect(
    async_fn_in_trait,
    reason = "implementations are single-threaded and need no `Send` bound"
)]
pub trait AgentPool {
    /// Chooses an agent that accepts new work, if possible one that has not
    /// refused the request.
    fn choose(&self, refused: &[AgentRef]) -> Option<AgentRef>;

    /// Generates a new token.
    fn new_token(&self) -> WorkId;

    /// Requests an agent to execute the operation under a tag.
    async fn run(&self, agent: &AgentRef, tag: WorkTag) -> RunReply;

    /// Attaches to work, and seals it if the agent has not accepted it.
    async fn attach(&self, agent: &AgentRef, tag: WorkTag) -> AttachReply;
}
