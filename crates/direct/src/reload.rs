//! Reloads the settings file when it changes.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use clementine_platform::settings::InstanceSettings;
use spdlog::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::shared::SharedState;

/// Interval at which the file is read again, since it can change without a
/// SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file until the process ends. `settings` is the content
/// that was loaded from it at startup.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub(crate) fn watch_settings(
    shared: Rc<SharedState>,
    path: PathBuf,
    settings: InstanceSettings,
) -> io::Result<()> {
    let sighup = signal(SignalKind::hangup())?;
    spawn_local(watch(shared, path, settings, sighup));
    Ok(())
}

async fn watch(
    shared: Rc<SharedState>,
    path: PathBuf,
    mut current: InstanceSettings,
    mut sighup: Signal,
) {
    let mut load_failed = false;
    loop {
        let signalled = timeout(POLL_INTERVAL, sighup.recv()).await.is_ok();
        match InstanceSettings::load(&path, &current.bounds) {
            Ok(settings) if settings == current => {
                if signalled {
                    info!("settings: reloaded on SIGHUP, nothing has changed");
                }
                load_failed = false;
            }
            Ok(settings) => {
                if settings.listen_address != current.listen_address
                    || settings.readiness_address != current.readiness_address
                {
                    warn!("settings: changed listen addresses take effect after a restart");
                }
                for warning in &settings.warnings {
                    warn!("settings: {}, the last ones stay in force", warning);
                }
                info!("settings: changed bounds are in force: {:?}", settings.bounds);
                shared.apply_bounds(settings.bounds);
                current = settings;
                load_failed = false;
            }
            // Consecutive failures are logged only once.
            Err(error) if !load_failed => {
                warn!("settings: reload failed, the last ones stay in force: {}", error);
                load_failed = true;
            }
            Err(_) => {}
        }
    }
}
