//! Runs the real processes on loopback, with stand-ins of all that surrounds
//! them, for tests.
//!
//! The harness panics where something can't be started or asked: a test that
//! goes on would only fail later.

#![allow(clippy::missing_panics_doc, reason = "see above")]

mod caller;
mod fault;
mod hub;
mod process;
mod proxy;
mod record;

pub use caller::{Answer, Caller, StreamedAnswer};
pub use fault::Fault;
pub use hub::{Backend, EntryProcess, Hub, HubPlan, TOKEN};
pub use process::Process;
pub use proxy::{Proxy, ProxyMode};
pub use record::RecordFile;

use std::time::Duration;

/// Longest wait of the harness for something that has to come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
///
/// # Panics
///
/// When it does not come to hold.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let started = std::time::Instant::now();
    while !holds().await {
        assert!(started.elapsed() < PATIENCE, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
