//! HTTP calls to the platform, guarded by a budget and a circuit breaker.

mod guard;

pub use guard::{Guard, GuardLimits};
