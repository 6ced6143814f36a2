//! Guard of the calls to one platform service.

mod breaker;
mod call_budget;

pub use breaker::{CircuitBreaker, CircuitLimits};
pub use call_budget::CallBudget;
