//! Steps of a split model.

use bytes::Bytes;
use clementine_decide::stage::{StageEpoch, StageInput, TokenIndex};
use clementine_decide::ids::AgentRef;
use clementine_objects::LayerRange;
use serde::{Deserialize, Serialize};

/// An agent whose engine can run a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageTarget {
    /// The agent.
    pub agent: AgentRef,
    /// Layers that its engine holds.
    pub layers: LayerRange,
}

/// The stages after the receiver's own, in order of layers; each lists its
/// replacements after the agent of choice.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StageChain {
    /// Layers of the receiver's own stage.
    pub own: Option<LayerRange>,
    /// Agents for each further stage.
    pub stages: Vec<Vec<StageTarget>>,
}

/// An order to run one step at one stage and the stages after it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageOrder {
    /// Request, attempt and step.
    pub input: StageInput,
    /// Output of the stage before.
    pub activation: Bytes,
    /// Receiver's layers and the stages after it.
    pub chain: StageChain,
    /// Whether the step only rebuilds this stage's state: its output is known
    /// downstream and is not passed on.
    pub rebuild: bool,
}

/// Answer to a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageReply {
    /// Output of the last stage: the next token as text, empty at the end.
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
