//! Admission control: concurrency slots, a bounded queue and refusal, for one
//! backend server and for a pool that several entries use.

mod decision;
mod pool_capacity;
mod pool_queue;
mod pool_request;
mod promises;
mod queue;
mod service_time;

pub use decision::{AdmissionDecision, Refusal};
pub use pool_capacity::{PoolLoad, ReturningSlots};
pub use pool_queue::{MAX_WAITING, PoolDecision, PoolQueue, QueueTicket, RefusalReason};
pub use pool_request::{CallerReturn, PoolRequest};
pub use promises::{MAX_PROMISES, PROMISE_INTERVAL};
pub use queue::{AdmissionLimits, AdmissionQueue, Urgency};
pub use service_time::ServiceTime;
