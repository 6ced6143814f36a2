//! State shared by all tasks of the process.

mod capacity_wait;
mod dump;
mod metrics;
mod outbox;
mod pool_queues;
mod pool_run;
mod queue;
mod request_context;
mod reservation;
mod retry_budgets;
mod shares;
mod signals;
mod state;
mod store;
mod table_sync;

pub(crate) use capacity_wait::{promise_return, wait_for_capacity};
pub(crate) use clementine_decide::peers::UrgentMessage;
pub(crate) use metrics::DirectMetrics;
pub(crate) use outbox::Outbox;
pub(crate) use pool_run::PoolRun;
pub(crate) use queue::BoundedQueue;
pub(crate) use request_context::RequestContext;
pub(crate) use reservation::Reservation;
pub(crate) use retry_budgets::RetryGrant;
pub(crate) use shares::request_cost;
pub(crate) use state::SharedState;
pub(crate) use store::RateLimitedStore;
pub(crate) use table_sync::TableSync;
