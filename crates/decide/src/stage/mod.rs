//! Split models: the choice of a chain of stages, and the gate of one stage.

mod gate;
mod plan;

pub use gate::{
    HeadNumber, StageEpoch, StageGate, StageInput, StageLimits, StageOutput, StageVerdict,
    TokenIndex,
};
pub use plan::{PlannedStage, StagePool, plan_chain};
