//! What is known of the backend servers that entries reach without an agent.

mod backend;
mod engine;
mod member;
mod members;
mod reach;

pub use backend::{Backend, BackendState};
pub use engine::{CardSpec, EngineSpec};
pub use member::Member;
pub use members::{Fleet, Listed};
pub use reach::{Reach, unreachable};
