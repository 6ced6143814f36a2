//! Quarantine of requests that crash backend servers.

mod crash_counts;
mod fingerprint;

pub use crash_counts::{Quarantine, QuarantineLimits};
pub use fingerprint::Fingerprint;
