//! Operations that may run at most once.

mod gates;
mod serve;

pub(crate) use gates::AgentGates;
