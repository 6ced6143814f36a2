//! Operations that run at most once, identified by an idempotency key.

mod pool_agents;
mod serve;

pub(crate) use pool_agents::PoolAgents;
