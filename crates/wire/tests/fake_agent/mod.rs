//! A fake agent with configurable response delays.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use clementine_decide::balance::LoadReport;
use clementine_decide::config::ConfigUpdate;
use clementine_decide::dedup::WorkTag;
use clementine_decide::ids::{AgentRef, Epoch, IncarnationId, WorkId};
use clementine_decide::limits::{LimitReport, LimitTotals};
use clementine_decide::quarantine::{CrashReport, Fingerprint};
use clementine_decide::stage::HeadGeneration;
use clementine_objects::{Millis, Revision};
use clementine_wire::transport::serve_agent;
use clementine_wire::{
    Agent, AgentDescription, AgentState, AgentStatus, AttachResponse, NotRunReason, ReadRequest,
    ReadResponse, RunRefusal, RunRequest, RunResponse, StageRequest, StageResponse,
};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Reference under which the fake agent describes itself.
pub fn agent_ref() -> AgentRef {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    AgentRef { address, incarnation: IncarnationId(1), epoch: Epoch(0) }
}

/// An agent with configurable response delays.
#[derive(Debug, Clone)]
pub struct FakeAgent {
    /// Delay before `attach` responds.
    pub attach_delay: Duration,
    /// Delay before `describe` responds.
    pub describe_delay: Duration,
}

impl FakeAgent {
    /// Serves the fake agent on a free port.
    pub async fn serve(self) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("free port");
        let address = listener.local_addr().expect("local address");
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve_agent(stream, self.clone()));
            }
        });
        address
    }
}

fn status() -> AgentStatus {
    AgentStatus {
        agent: agent_ref(),
        state: AgentState::Ready,
        load: LoadReport::default(),
        revision: Revision(0),
    }
}

impl Agent for FakeAgent {
    async fn describe(self, _: Context) -> AgentDescription {
        tokio::time::sleep(self.describe_delay).await;
        AgentDescription {
            pool: "p".parse().expect("valid name"),
            domain: "d".into(),
            status: status(),
        }
    }

    async fn run(self, _: Context, _: RunRequest) -> RunResponse {
        RunResponse::Refused(
            RunRefusal { reason: NotRunReason::Leaving, retry_after: None },
            status(),
        )
    }

    async fn read(self, _: Context, requests: Vec<ReadRequest>, _: Millis) -> Vec<ReadResponse> {
        vec![ReadResponse::NotHeld; requests.len()]
    }

    async fn attach(self, _: Context, _: WorkTag) -> AttachResponse {
        tokio::time::sleep(self.attach_delay).await;
        AttachResponse::Sealed
    }

    async fn cancel(self, _: Context, _: WorkId) {}

    async fn note_crashes(
        self,
        _: Context,
        _: Fingerprint,
        crashes: Option<CrashReport>,
    ) -> Option<CrashReport> {
        crashes
    }

    async fn configure(self, _: Context, _: ConfigUpdate) -> Revision {
        Revision(0)
    }

    async fn config_since(self, _: Context, _: Revision) -> ConfigUpdate {
        ConfigUpdate::None
    }

    async fn exchange_limits(self, _: Context, _: LimitReport) -> LimitTotals {
        LimitTotals::default()
    }

    async fn stage(self, _: Context, _: StageRequest) -> StageResponse {
        StageResponse::Failed
    }

    async fn close_stage(self, _: Context, _: WorkId, _: HeadGeneration) {}
}
