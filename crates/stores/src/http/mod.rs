//! HTTP calls to the platform, guarded by a budget and a circuit breaker.

mod limiter;
mod send_error;

pub use limiter::{CallLimiter, CallLimits};
pub use send_error::was_never_sent;
