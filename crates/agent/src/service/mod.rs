//! The RPC service that the agent offers to entries and other agents.

use std::rc::Rc;

use clementine_decide::config::ConfigUpdate;
use clementine_decide::dedup::WorkTag;
use clementine_decide::ids::WorkId;
use clementine_decide::limits::{LimitReport, LimitTotals};
use clementine_decide::quarantine::{CrashReport, Fingerprint};
use clementine_decide::stage::HeadGeneration;
use clementine_objects::{Millis, Revision};
use clementine_wire::{
    Agent, AgentDescription, AttachResponse, ReadRequest, ReadResponse, RunRequest, RunResponse,
    StageRequest, StageResponse,
};
use tarpc::context::Context;

use crate::shared::SharedState;

/// RPC handler. Clones share the agent's state.
#[derive(Debug, Clone)]
pub(crate) struct AgentService {
    shared: Rc<SharedState>,
}

impl AgentService {
    /// Creates a handler for an agent.
    pub(crate) const fn new(shared: Rc<SharedState>) -> Self {
        Self { shared }
    }
}

impl Agent for AgentService {
    async fn describe(self, _: Context) -> AgentDescription {
        self.shared.describe()
    }

    async fn run(self, _: Context, request: RunRequest) -> RunResponse {
        self.shared.run(request).await
    }

    async fn read(self, _: Context, requests: Vec<ReadRequest>, wait: Millis) -> Vec<ReadResponse> {
        self.shared.read(&requests, wait).await
    }

    async fn attach(self, _: Context, tag: WorkTag) -> AttachResponse {
        self.shared.attach(&tag).await
    }

    async fn cancel(self, _: Context, work: WorkId) {
        self.shared.cancel(work);
    }

    async fn note_crashes(
        self,
        _: Context,
        fingerprint: Fingerprint,
        crashes: Option<CrashReport>,
    ) -> Option<CrashReport> {
        self.shared.exchange_crashes(fingerprint, crashes.as_ref())
    }

    async fn configure(self, _: Context, update: ConfigUpdate) -> Revision {
        self.shared.configure(&update)
    }

    async fn config_since(self, _: Context, revision: Revision) -> ConfigUpdate {
        self.shared.config_since(revision)
    }

    async fn exchange_limits(self, _: Context, report: LimitReport) -> LimitTotals {
        self.shared.exchange_limits(report)
    }

    async fn stage(self, _: Context, request: StageRequest) -> StageResponse {
        self.shared.stages().step(request).await
    }

    async fn close_stage(self, _: Context, work: WorkId, head: HeadGeneration) {
        self.shared.stages().close(work, head);
    }
}
