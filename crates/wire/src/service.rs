//! The service of an agent.

use bytes::Bytes;
use clementine_decide::gate::WorkTag;
use clementine_decide::ids::WorkId;
use clementine_objects::Revision;

use crate::messages::{
    AgentDescription, AttachStart, ReadOrder, ReadReply, RunOrder, RunStart, StageOrder, StageReply,
};

/// What an agent does for entries and for other agents.
#[tarpc::service]
pub trait Agent {
    /// Says who the agent is and how it fares.
    async fn describe() -> AgentDescription;

    /// Runs work once and returns its first progress.
    async fn run(order: RunOrder) -> RunStart;

    /// Returns progress of work from an offset on.
    async fn read(order: ReadOrder) -> ReadReply;

    /// Attaches to work, sealing it where it was not accepted.
    async fn attach(tag: WorkTag) -> AttachStart;

    /// Gives up work.
    async fn cancel(work: WorkId);

    /// Takes an encoded snapshot if it is newer and returns the revision held.
    async fn configure(snapshot: Bytes) -> Revision;

    /// Returns the encoded snapshot held, empty when there is none.
    async fn snapshot() -> Bytes;

    /// Runs one step of a split model.
    async fn stage(order: StageOrder) -> StageReply;

    /// Forgets a request of a split model.
    async fn close_stage(work: WorkId);
}
