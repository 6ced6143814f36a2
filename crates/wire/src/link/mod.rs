//! Persistent RPC connection to an agent.

mod agent_link;
mod error;

pub use agent_link::{AgentLink, LinkTimeouts};
pub use error::LinkError;
