//! Messages and transport between the processes of clementinehub.

pub mod messages;
mod service;
pub mod transport;

pub use messages::{
    AgentDescription, AgentState, AnswerEnd, AnswerHead, AttachStart, Header, NotRunReason,
    Progress, ReadOrder, ReadReply, RunOrder, RunRefusal, RunStart, StageChain, StageOrder,
    StageReply, StageTarget,
};
pub use service::{Agent, AgentClient};
