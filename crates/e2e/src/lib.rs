//! Runs the real processes on loopback, with stand-ins of all that surrounds
//! them, for tests.
//!
//! The harness panics where something can't be started or asked: a test that
//! goes on would only fail later.

#![allow(clippy::missing_panics_doc, reason = "see above")]

mod client;
mod cluster;
mod fault;
mod process;
mod proxy;
mod record;

pub use client::{ApiClient, ApiResponse, StreamedResponse};
pub use cluster::{API_TOKEN, Backend, Cluster, ClusterSpec, EntryProcess};
pub use fault::Fault;
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
