//! Guard of the calls to one platform service.

mod breaker;
mod token_bucket;

pub use breaker::{CircuitBreaker, CircuitLimits};
pub use token_bucket::TokenBucket;
