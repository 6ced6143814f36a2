//! Which engine holds which layers of a model.

mod context;
mod holder;
mod plan;
mod settle;
mod spares;

pub use context::context_beside_layers;
pub use holder::{Holder, Move};
pub use plan::plan_layers;
pub use settle::Settling;
