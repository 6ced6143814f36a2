//! Connects the operation driver to the simulation.

use std::cell::RefCell;

use clementine_decide::dedup::WorkTag;
use clementine_decide::ids::{AgentRef, WorkId};
use clementine_decide::operation::{
    AgentPool, AttachReply, ClaimKey, ClaimRow, ClaimStore, RunReply, StoreCallError, WriteReply,
};
use futures::channel::oneshot;

use super::SharedSimulation;
use super::table::Write;

/// A call waiting to be resolved by the scheduler.
#[derive(Debug)]
pub struct PendingCall {
    /// Index of the attempt that made the call.
    pub attempt: usize,
    pub kind: CallKind,
}

#[derive(Debug)]
pub enum CallKind {
    Write { write: Write, reply: oneshot::Sender<Result<WriteReply, StoreCallError>> },
    Read { reply: oneshot::Sender<Result<Option<ClaimRow>, StoreCallError>> },
    Run { agent: AgentRef, tag: WorkTag, delivered: bool, reply: oneshot::Sender<RunReply> },
    Attach { agent: AgentRef, tag: WorkTag, delivered: bool, reply: oneshot::Sender<AttachReply> },
}

/// The table service and the agents as one attempt sees them.
#[derive(Debug)]
pub struct AttemptPorts {
    pub sim: SharedSimulation,
    pub attempt: usize,
    pub tokens: RefCell<Vec<WorkId>>,
}

impl AttemptPorts {
    fn call(&self, kind: CallKind) {
        self.sim.borrow_mut().calls.push(PendingCall { attempt: self.attempt, kind });
    }

    async fn write(&self, write: Write) -> Result<WriteReply, StoreCallError> {
        let (reply, receiver) = oneshot::channel();
        self.call(CallKind::Write { write, reply });
        receiver.await.unwrap_or(Err(StoreCallError::Indeterminate))
    }
}

impl ClaimStore for AttemptPorts {
    async fn insert(&self, _: &ClaimKey, row: &ClaimRow) -> Result<WriteReply, StoreCallError> {
        self.write(Write { row: row.clone(), expected: None }).await
    }

    async fn replace(
        &self,
        _: &ClaimKey,
        expected: WorkId,
        row: &ClaimRow,
    ) -> Result<WriteReply, StoreCallError> {
        self.write(Write { row: row.clone(), expected: Some(expected) }).await
    }

    async fn read(&self, _: &ClaimKey) -> Result<Option<ClaimRow>, StoreCallError> {
        let (reply, receiver) = oneshot::channel();
        self.call(CallKind::Read { reply });
        receiver.await.unwrap_or(Err(StoreCallError::Indeterminate))
    }
}

impl AgentPool for AttemptPorts {
    fn choose(&self, refused: &[AgentRef]) -> Option<AgentRef> {
        let sim = self.sim.borrow();
        let agents = sim.agents.iter().map(super::AgentSim::agent_ref);
        let mut others = agents.clone().filter(|agent| !refused.contains(agent));
        others.next().or_else(|| agents.clone().next())
    }

    fn new_token(&self) -> WorkId {
        let mut sim = self.sim.borrow_mut();
        sim.next_token += 1;
        let token = WorkId(sim.next_token);
        self.tokens.borrow_mut().push(token);
        token
    }

    async fn run(&self, agent: &AgentRef, tag: WorkTag) -> RunReply {
        let (reply, receiver) = oneshot::channel();
        self.call(CallKind::Run { agent: *agent, tag, delivered: false, reply });
        receiver.await.unwrap_or(RunReply::Unreachable)
    }

    async fn attach(&self, agent: &AgentRef, tag: WorkTag) -> AttachReply {
        let (reply, receiver) = oneshot::channel();
        self.call(CallKind::Attach { agent: *agent, tag, delivered: false, reply });
        receiver.await.unwrap_or(AttachReply::Unreachable)
    }
}
