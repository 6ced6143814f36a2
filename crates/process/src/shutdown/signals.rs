//! Signals that end the process.

use std::io;

use spdlog::info;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;

use super::Drain;

/// Exit code of a process that a second signal has ended.
const EXIT_INTERRUPTED: i32 = 130;

/// Starts the drain at the first SIGTERM or SIGINT and ends the process at
/// the second.
///
/// # Errors
///
/// Fails when the signal handlers can't be installed.
pub fn watch_signals(drain: Drain) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("process: draining, a second signal ends the process at once");
        drain.start();
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("process: ended by a second signal");
        std::process::exit(EXIT_INTERRUPTED);
    });
    Ok(())
}
