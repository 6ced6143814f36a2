//! The life cycle of an operation, as typestates.

use super::{AgentPool, ClaimRow, ClaimState, RunReply};
use crate::dedup::WorkTag;
use crate::ids::{AgentRef, WorkId};
use crate::operation::RequestDigest;

/// The operation has not been claimed under its token yet.
#[derive(Debug)]
pub struct Unclaimed;

/// The claim is stored in the table service and the operation has not been sent.
#[derive(Debug)]
pub struct Claimed;

/// The operation was sent to the agent and is not sent again.
#[derive(Debug)]
pub struct Sent {
    reply: RunReply,
}

/// One attempt to execute an operation under one token.
///
/// Only `Operation<Claimed>` can be sent, and sending consumes it, so that an
/// attempt is sent at most once.
#[derive(Debug)]
pub struct Operation<S> {
    row: ClaimRow,
    state: S,
}

impl<S> Operation<S> {
    /// The row that claims the operation for this attempt.
    pub const fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// The token of this attempt.
    pub const fn token(&self) -> WorkId {
        self.row.token
    }

    /// The agent of this attempt.
    pub const fn agent(&self) -> &AgentRef {
        &self.row.agent
    }

    const fn tag(&self) -> WorkTag {
        self.row.tag()
    }
}

impl Operation<Unclaimed> {
    /// Creates an attempt under a new token.
    pub const fn new(digest: RequestDigest, token: WorkId, agent: AgentRef) -> Self {
        let row = ClaimRow { digest, token, agent, state: ClaimState::Held };
        Self { row, state: Unclaimed }
    }

    /// Marks the claim row as stored in the table service.
    #[must_use]
    pub fn claimed(self) -> Operation<Claimed> {
        Operation { row: self.row, state: Claimed }
    }
}

impl Operation<Claimed> {
    /// Sends the operation to its agent.
    pub async fn send(self, agents: &impl AgentPool) -> Operation<Sent> {
        let tag = self.tag();
        let reply = agents.run(&self.row.agent, tag).await;
        Operation { row: self.row, state: Sent { reply } }
    }
}

impl Operation<Sent> {
    /// The agent's reply.
    pub const fn reply(&self) -> &RunReply {
        &self.state.reply
    }

    /// The claim row with a final state of the operation.
    pub fn recorded(&self, state: ClaimState) -> ClaimRow {
        ClaimRow { state, ..self.row.clone() }
    }
}
