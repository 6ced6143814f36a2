//! Rate limiting, circuit breaking and error classification for HTTP calls to
//! the platform.

mod limiter;
mod send_error;

pub use limiter::{CallLimiter, CallLimits};
pub use send_error::was_never_sent;
