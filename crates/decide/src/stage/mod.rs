//! Pipeline-parallel models: selection of a chain of stages, and ordering of the
//! steps at one stage.

mod plan;
mod sequencer;

pub use plan::{PlannedStage, StagePool, plan_chain};
pub use sequencer::{
    HeadGeneration, StageEpoch, StageLimits, StageOutput, StageSequencer, StepDecision, StepId,
    TokenIndex,
};
