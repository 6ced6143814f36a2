//! The gate of one stage of a split model.

mod gate;

pub use gate::{StageEpoch, StageGate, StageInput, StageVerdict, TokenIndex};
