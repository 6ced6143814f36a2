//! The RPC service of an agent.

use clementine_decide::config::ConfigUpdate;
use clementine_decide::dedup::WorkTag;
use clementine_decide::ids::WorkId;
use clementine_decide::limits::{LimitReport, LimitTotals};
use clementine_decide::quarantine::{CrashReport, Fingerprint};
use clementine_decide::stage::HeadGeneration;
use clementine_objects::{Millis, Revision};

use crate::messages::{
    AgentDescription, AttachResponse, ReadRequest, ReadResponse, RunRequest, RunResponse,
    StageRequest, StageResponse,
};

/// RPC interface of an agent, called by entries and by other agents.
#[tarpc::service]
pub trait Agent {
    /// Returns the agent's identity, state and load.
    async fn describe() -> AgentDescription;

    /// Runs work at most once and returns its first progress.
    async fn run(order: RunRequest) -> RunResponse;

    /// Long-polls several work items for progress. Returns one response per
    /// request, in the same order, once any item has progress or is not held, or
    /// after `wait`.
    async fn read(orders: Vec<ReadRequest>, wait: Millis) -> Vec<ReadResponse>;

    /// Attaches to work. Work that was not accepted yet is sealed, so that it
    /// cannot run later.
    async fn attach(tag: WorkTag) -> AttachResponse;

    /// Cancels work.
    async fn cancel(work: WorkId);

    /// Records which backend servers crashed under a request, as known to the entry, and
    /// returns what the agent knows of it then.
    async fn note_crashes(
        request: Fingerprint,
        crashes: Option<CrashReport>,
    ) -> Option<CrashReport>;

    /// Applies a configuration update and returns the resulting revision.
    async fn configure(update: ConfigUpdate) -> Revision;

    /// Returns the update that brings a process at `revision` up to date.
    async fn config_since(revision: Revision) -> ConfigUpdate;

    /// Runs one step of a model that is split into stages.
    async fn stage(order: StageRequest) -> StageResponse;

    /// Releases the state of a split-model request on behalf of a head, the
    /// agent of the first stage.
    async fn close_stage(work: WorkId, head: HeadGeneration);

    /// Records what an entry uses of the limits of workspaces and returns what all other
    /// entries use.
    async fn exchange_limits(report: LimitReport) -> LimitTotals;
}
