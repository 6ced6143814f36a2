//! Quarantine of requests that crash backend servers.

mod fingerprint;
mod ledger;

pub use fingerprint::Fingerprint;
pub use ledger::{Quarantine, QuarantineLimits};
