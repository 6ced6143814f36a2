//! HTTP calls to the platform, guarded by a budget and a circuit breaker.

mod guard;
mod send_error;

pub use guard::{Guard, GuardLimits};
pub use send_error::was_never_sent;
