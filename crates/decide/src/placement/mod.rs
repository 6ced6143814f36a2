//! Which engine holds which layers of a model.

mod holder;
mod plan;
mod settle;

pub use holder::{Holder, Move};
pub use plan::plan_layers;
pub use settle::Settling;
