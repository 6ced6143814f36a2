//! State shared by all tasks of the process.

mod dump;
mod log_limit;
mod metrics;
mod outbox;
mod queue;
mod request_context;
mod reservation;
mod retry_budgets;
mod signals;
mod state;
mod store;
mod table_sync;

pub(crate) use clementine_decide::peers::UrgentMessage;
pub(crate) use log_limit::LogLimit;
pub(crate) use metrics::DirectMetrics;
pub(crate) use outbox::Outbox;
pub(crate) use queue::BoundedQueue;
pub(crate) use request_context::RequestContext;
pub(crate) use reservation::Reservation;
pub(crate) use retry_budgets::{RetryBudgets, RetryPriority};
pub(crate) use state::SharedState;
pub(crate) use store::RateLimitedStore;
pub(crate) use table_sync::TableSync;
