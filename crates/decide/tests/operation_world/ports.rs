//! The operation driver's ports into the test world.

use std::cell::RefCell;

use clementine_decide::gate::WorkTag;
use clementine_decide::ids::{AgentRef, WorkId};
use clementine_decide::operation::{
    AttachReply, ClaimKey, ClaimRow, Claims, Gates, RunReply, StoreFault, WriteReply,
};
use futures::channel::oneshot;

use super::SharedWorld;
use super::table::Write;

/// A call that waits for the scheduler.
#[derive(Debug)]
pub struct PendingCall {
    /// The attempt that made the call.
    pub attempt: usize,
    pub kind: CallKind,
}

#[derive(Debug)]
pub enum CallKind {
    Write { write: Write, reply: oneshot::Sender<Result<WriteReply, StoreFault>> },
    Read { reply: oneshot::Sender<Result<Option<ClaimRow>, StoreFault>> },
    Run { agent: AgentRef, tag: WorkTag, delivered: bool, reply: oneshot::Sender<RunReply> },
    Attach { agent: AgentRef, tag: WorkTag, delivered: bool, reply: oneshot::Sender<AttachReply> },
}

/// One attempt's ports.
#[derive(Debug)]
pub struct WorldPorts {
    pub world: SharedWorld,
    pub attempt: usize,
    pub tokens: RefCell<Vec<WorkId>>,
}

impl WorldPorts {
    fn call(&self, kind: CallKind) {
        self.world.borrow_mut().calls.push(PendingCall { attempt: self.attempt, kind });
    }

    async fn write(&self, write: Write) -> Result<WriteReply, StoreFault> {
        let (reply, answer) = oneshot::channel();
        self.call(CallKind::Write { write, reply });
        answer.await.unwrap_or(Err(StoreFault::Unclear))
    }
}

impl Claims for WorldPorts {
    async fn insert(&self, _: &ClaimKey, row: &ClaimRow) -> Result<WriteReply, StoreFault> {
        self.write(Write { row: row.clone(), expected: None }).await
    }

    async fn replace(
        &self,
        _: &ClaimKey,
        expected: WorkId,
        row: &ClaimRow,
    ) -> Result<WriteReply, StoreFault> {
        self.write(Write { row: row.clone(), expected: Some(expected) }).await
    }

    async fn read(&self, _: &ClaimKey) -> Result<Option<ClaimRow>, StoreFault> {
        let (reply, answer) = oneshot::channel();
        self.call(CallKind::Read { reply });
        answer.await.unwrap_or(Err(StoreFault::Unclear))
    }
}

impl Gates for WorldPorts {
    fn choose(&self, refused: &[AgentRef]) -> Option<AgentRef> {
        let world = self.world.borrow();
        let agents = world.agents.iter().map(super::AgentSim::agent_ref);
        let mut others = agents.clone().filter(|agent| !refused.contains(agent));
        others.next().or_else(|| agents.clone().next())
    }

    fn fresh_token(&self) -> WorkId {
        let mut world = self.world.borrow_mut();
        world.next_token += 1;
        let token = WorkId(world.next_token);
        self.tokens.borrow_mut().push(token);
        token
    }

    async fn run(&self, agent: &AgentRef, tag: WorkTag) -> RunReply {
        let (reply, answer) = oneshot::channel();
        self.call(CallKind::Run { agent: *agent, tag, delivered: false, reply });
        answer.await.unwrap_or(RunReply::Unreachable)
    }

    async fn attach(&self, agent: &AgentRef, tag: WorkTag) -> AttachReply {
        let (reply, answer) = oneshot::channel();
        self.call(CallKind::Attach { agent: *agent, tag, delivered: false, reply });
        answer.await.unwrap_or(AttachReply::Unreachable)
    }
}
