//! Steps of a split model.

use bytes::Bytes;
use clementine_decide::ids::{AgentRef, WorkId};
use clementine_decide::stage::{HeadNumber, StageEpoch, StageInput, TokenIndex};
use serde::{Deserialize, Serialize};

/// One stage after the receiver's own: the agent of choice, then those that
/// can replace it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StageTargets(pub Vec<AgentRef>);

/// How a request runs over a split model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPlan {
    /// The request at all stages. It stays the same when the head is replaced,
    /// so that the other stages run nothing again.
    pub work: WorkId,
    /// Number of the head that receives the plan.
    pub head: HeadNumber,
    /// Stages after the head, in order of layers.
    pub stages: Vec<StageTargets>,
    /// Tokens of the answer that the caller has already.
    pub delivered: u32,
}

/// An order to run one step at one stage and the stages after it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRequest {
    /// Request, attempt and step.
    pub input: StageInput,
    /// Output of the stage before; at the head the prompt or a token.
    pub activation: Bytes,
    /// Stages after the receiver's.
    pub stages: Vec<StageTargets>,
    /// Whether the step only rebuilds the receiver's state: its output is
    /// known downstream and is not passed on.
    pub rebuild: bool,
}

/// Answer to a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageResponse {
    /// Output of the last stage: the next token as text.
    Token(Bytes),
    /// The step was run to rebuild the stage.
    Rebuilt,
    /// A step before this one has not run here.
    Gap {
        /// The step that the stage expects.
        expected: TokenIndex,
    },
    /// A higher epoch is open.
    Replaced {
        /// The open epoch.
        open: StageEpoch,
    },
    /// The engine or a stage further on failed and could not be replaced.
    Failed,
}
