//! A kept connection to one agent.

mod agent_link;
mod error;

pub use agent_link::{AgentLink, LinkTimeouts};
pub use error::LinkError;
