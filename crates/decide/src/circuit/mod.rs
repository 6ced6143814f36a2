//! Circuit breaker and rate limit for calls to a platform service.

mod breaker;
mod token_bucket;

pub use breaker::{CircuitBreaker, CircuitLimits};
pub use token_bucket::TokenBucket;
