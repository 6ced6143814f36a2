//! The agent's state and its processing of requests.

mod health;
mod job;
mod metrics;
mod state;
mod suspects;
mod work;

pub(crate) use job::Job;
pub(crate) use metrics::AgentMetrics;
pub(crate) use state::SharedState;
pub(crate) use suspects::SuspectGuard;
