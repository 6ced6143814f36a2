//! RPC interface of agents, for calls from entries and from other agents.

pub mod link;
pub mod messages;
mod service;
pub mod transport;

pub use link::{AgentLink, LinkError, LinkTimeouts};
pub use messages::{
    AgentDescription, AgentState, AgentStatus, AttachResponse, Header, HttpResponseHead,
    NotRunReason, Progress, ReadRequest, ReadResponse, RunRefusal, RunRequest, RunResponse,
    SplitPlan, StageRequest, StageResponse, StageTargets, WorkOutcome,
};
pub use service::{Agent, AgentClient};
