//! Messages between entries and agents.

mod answer;
mod attach;
mod describe;
mod read;
mod run;
mod stage;

pub use answer::{AnswerEnd, AnswerHead, Header, NotRunReason, Progress};
pub use attach::AttachStart;
pub use describe::{AgentDescription, AgentNews, AgentState};
pub use read::{ReadOrder, ReadReply};
pub use run::{RunOrder, RunRefusal, RunStart};
pub use stage::{SplitPlan, StageOrder, StageReply, StageTargets};
