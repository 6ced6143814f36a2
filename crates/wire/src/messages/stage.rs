//! Pipelined execution of a model whose layers are split into stages.
//!
//! Each stage is served by an agent. The agent of the first stage is the head:
//! it starts every step and writes the response.

use bytes::Bytes;
use clementine_decide::ids::{AgentRef, WorkId};
use clementine_decide::stage::{HeadGeneration, StageEpoch, StepId, TokenIndex};
use serde::{Deserialize, Serialize};

/// Agents of a later stage in order of preference: the first one is used, the
/// others are fallbacks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StageTargets(pub Vec<AgentRef>);

/// Execution plan of a request on a split model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPlan {
    /// Identifier of the request at all stages. It does not change when the head
    /// is replaced, so that the other stages do not repeat steps.
    pub work: WorkId,
    /// Generation of the head that receives the plan.
    pub head: HeadGeneration,
    /// Stages after the head, in layer order.
    pub stages: Vec<StageTargets>,
    /// Number of tokens already delivered to the caller.
    pub delivered: u32,
}

/// Instructs an agent to run one step at its stage and all later stages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRequest {
    /// Request, head, epoch and index of the step.
    #[serde(rename = "input")]
    pub step: StepId,
    /// Output of the previous stage; at the head, the prompt or a token.
    pub activation: Bytes,
    /// Stages after the receiver's own.
    pub stages: Vec<StageTargets>,
    /// Whether the step only rebuilds the receiver's state. Later stages already
    /// have its output, so it is not forwarded.
    pub rebuild: bool,
}

/// Response to a [`StageRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageResponse {
    /// Output of the last stage: the text of the next token.
    Token(Bytes),
    /// The step was run to rebuild the stage's state.
    Rebuilt,
    /// An earlier step has not run at this stage.
    Gap {
        /// Next step that the stage expects.
        expected: TokenIndex,
    },
    /// The request's epoch has been superseded by a higher one.
    Replaced {
        /// The current epoch.
        #[serde(rename = "open")]
        current: StageEpoch,
    },
    /// The engine or a later stage failed and no fallback was available.
    Failed,
}
