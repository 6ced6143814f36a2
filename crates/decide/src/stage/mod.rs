//! Split models: the choice of a chain of stages, and the gate of one stage.

mod plan;
mod sequencer;

pub use plan::{PlannedStage, StagePool, plan_chain};
pub use sequencer::{
    HeadGeneration, StageEpoch, StageLimits, StageOutput, StageSequencer, StepDecision, StepId,
    TokenIndex,
};
