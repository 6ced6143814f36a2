//! Test harness that runs the real processes on loopback, with stand-ins for the
//! platform and the backend servers.
//!
//! The harness panics if a process cannot be started or queried, because a test
//! could not continue in a meaningful way.

#![allow(clippy::missing_panics_doc, reason = "the harness panics on any failure, see above")]

mod client;
mod cluster;
mod fault;
mod process;
mod proxy;
mod record;
mod scripted;

pub use client::{ApiClient, ApiResponse, StreamedResponse};
pub use cluster::{API_TOKEN, Backend, Cluster, ClusterSpec, EntryProcess};
pub use fault::Fault;
pub use process::Process;
pub use proxy::{Proxy, ProxyMode};
pub use record::RecordFile;
pub use scripted::{ScriptedRequest, ScriptedServer, Step};

use std::time::Duration;

/// Timeout of [`eventually`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within 20 s.
pub async fn eventually<F: Future<Output = bool>>(
    description: &str,
    mut condition: impl FnMut() -> F,
) {
    let started = std::time::Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until {description}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
