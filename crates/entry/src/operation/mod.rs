//! Operations that may run at most once.

mod pool_agents;
mod serve;

pub(crate) use pool_agents::PoolAgents;
