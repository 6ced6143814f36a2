//! Request and response types of the agent RPC interface.

mod attach;
mod describe;
mod progress;
mod read;
mod run;
mod stage;

pub use attach::AttachResponse;
pub use describe::{AgentDescription, AgentState, AgentStatus};
pub use progress::{Header, HttpResponseHead, NotRunReason, Progress, WorkOutcome};
pub use read::{ReadRequest, ReadResponse};
pub use run::{RunRefusal, RunRequest, RunResponse};
pub use stage::{SplitPlan, StageRequest, StageResponse, StageTargets};
