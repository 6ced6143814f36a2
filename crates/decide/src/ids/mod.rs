//! Identities of agents and of work, and points in time.

mod agent;
mod hex_number;
mod instant;
mod random_id;

pub use agent::{AgentRef, Epoch};
pub use instant::Tick;
pub use random_id::{IncarnationId, RequestId, WorkId};
