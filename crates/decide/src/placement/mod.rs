//! Which engine holds which layers of a model.

mod holder;
mod plan;

pub use holder::{Holder, Move};
pub use plan::plan_layers;
