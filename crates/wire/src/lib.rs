//! Messages and transport between the processes of clementinehub.

pub mod link;
pub mod messages;
mod service;
pub mod transport;

pub use link::{AgentLink, LinkFault, LinkLimits};
pub use messages::{
    AgentDescription, AgentNews, AgentState, AnswerEnd, AnswerHead, AttachStart, Header,
    NotRunReason, Progress, ReadOrder, ReadReply, RunOrder, RunRefusal, RunStart, SplitPlan,
    StageOrder, StageReply, StageTargets,
};
pub use service::{Agent, AgentClient};
