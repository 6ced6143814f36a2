//! State of the backend servers that entries call directly, without an agent.

mod backend;
mod engine;
mod incarnation;
mod member;
mod members;
mod pool_load;
mod probe;

pub use backend::{Backend, BackendState};
pub use engine::{AcceleratorSpec, EngineSpec};
pub use incarnation::BackendIncarnation;
pub use member::Member;
pub use members::{Fleet, ListUpdate};
pub use probe::{ProbeResult, unreachable_engines};
