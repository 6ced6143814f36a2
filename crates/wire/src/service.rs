//! The service of an agent.

use clementine_decide::config::ConfigUpdate;
use clementine_decide::gate::WorkTag;
use clementine_decide::ids::WorkId;
use clementine_decide::quarantine::Fingerprint;
use clementine_decide::stage::HeadNumber;
use clementine_objects::{Millis, Revision};

use crate::messages::{
    AgentDescription, AttachResponse, ReadRequest, ReadResponse, RunRequest, RunResponse,
    StageRequest, StageResponse,
};

/// What an agent does for entries and for other agents.
#[tarpc::service]
pub trait Agent {
    /// Says who the agent is and how it fares.
    async fn describe() -> AgentDescription;

    /// Runs work once and returns its first progress.
    async fn run(order: RunRequest) -> RunResponse;

    /// Returns progress of several pieces of work, in the order in which they
    /// were asked for, as soon as one has some.
    async fn read(orders: Vec<ReadRequest>, wait: Millis) -> Vec<ReadResponse>;

    /// Attaches to work, sealing it where it was not accepted.
    async fn attach(tag: WorkTag) -> AttachResponse;

    /// Gives up work.
    async fn cancel(work: WorkId);

    /// Learns how many backend servers a request has crashed, and returns how
    /// many the agent knows of.
    async fn note_crashes(request: Fingerprint, crashes: u32) -> u32;

    /// Takes an update of the configuration and returns the revision held.
    async fn configure(update: ConfigUpdate) -> Revision;

    /// Returns what a process at a revision has to learn.
    async fn config_since(revision: Revision) -> ConfigUpdate;

    /// Runs one step of a split model.
    async fn stage(order: StageRequest) -> StageResponse;

    /// Ends a request of a split model on behalf of a head.
    async fn close_stage(work: WorkId, head: HeadNumber);
}
