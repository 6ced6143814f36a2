//! The RPC service that the agent offers to entries and other agents.

use std::rc::Rc;

use clementine_decide::config::ConfigUpdate;
use clementine_decide::dedup::WorkTag;
use clementine_decide::ids::WorkId;
use clementine_decide::quarantine::Fingerprint;
use clementine_decide::stage::HeadGeneration;
use clementine_objects::{Millis, Revision};
use clementine_wire::{
    Agent, AgentDescription, AttachResponse, ReadRequest, ReadResponse, RunRequest, RunResponse,
    StageRequest, StageResponse,
};
use tarpc::context::Context;

use crate::core::Core;

/// RPC handler. Clones share the agent's state.
#[derive(Debug, Clone)]
pub(crate) struct AgentService {
    core: Rc<Core>,
}

impl AgentService {
    /// Creates a handler for an agent.
    pub(crate) const fn new(core: Rc<Core>) -> Self {
        Self { core }
    }
}

impl Agent for AgentService {
    async fn describe(self, _: Context) -> AgentDescription {
        self.core.describe()
    }

    async fn run(self, _: Context, request: RunRequest) -> RunResponse {
        self.core.run(request).await
    }

    async fn read(self, _: Context, requests: Vec<ReadRequest>, wait: Millis) -> Vec<ReadResponse> {
        self.core.read(&requests, wait).await
    }

    async fn attach(self, _: Context, tag: WorkTag) -> AttachResponse {
        self.core.attach(&tag).await
    }

    async fn cancel(self, _: Context, work: WorkId) {
        self.core.cancel(work);
    }

    async fn note_crashes(self, _: Context, fingerprint: Fingerprint, crashes: u32) -> u32 {
        self.core.record_crashes(fingerprint, crashes)
    }

    async fn configure(self, _: Context, update: ConfigUpdate) -> Revision {
        self.core.configure(&update)
    }

    async fn config_since(self, _: Context, revision: Revision) -> ConfigUpdate {
        self.core.config_since(revision)
    }

    async fn stage(self, _: Context, request: StageRequest) -> StageResponse {
        self.core.stages().step(request).await
    }

    async fn close_stage(self, _: Context, work: WorkId, head: HeadGeneration) {
        self.core.stages().close(work, head);
    }
}
