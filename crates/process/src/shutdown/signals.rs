//! Shutdown signals.

use std::io;

use spdlog::info;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;

use super::Drain;

/// Exit code after a second shutdown signal.
const EXIT_INTERRUPTED: i32 = 130;

/// Starts the drain at the first SIGTERM or SIGINT and exits the process at the
/// second.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub fn watch_signals(drain: Drain) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("process: draining; a second signal exits immediately");
        drain.start();
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("process: exiting on a second signal");
        std::process::exit(EXIT_INTERRUPTED);
    });
    Ok(())
}
