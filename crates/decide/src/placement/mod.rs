//! Assignment of model layers to engines.

mod context;
mod host;
mod plan;
mod spare;
mod stabilize;

pub use context::context_tokens_per_engine;
pub use host::{Assignment, LayerHost};
pub use plan::plan_layers;
pub use stabilize::ListStabilizer;
