//! A kept connection to one agent.

mod agent_link;
mod fault;

pub use agent_link::{AgentLink, LinkLimits};
pub use fault::LinkFault;
