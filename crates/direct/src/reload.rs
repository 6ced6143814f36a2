//! Takes in changes of the settings file.

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

/// Pause between two looks at the file, which may change without a signal.
const LOOK_PAUSE: Duration = Duration::from_secs(2);

/// Watches the settings file, which was read as `settings`, until the process
/// ends.
///
/// # Errors
///
/// Fails when the signal handler can't be installed.
pub(crate) fn watch_settings(
    shared: Rc<SharedState>,
    path: PathBuf,
    settings: InstanceSettings,
) -> io::Result<()> {
    let hangups = signal(SignalKind::hangup())?;
    spawn_local(watch(shared, path, settings, hangups));
    Ok(())
}

async fn watch(
    shared: Rc<SharedState>,
    path: PathBuf,
    mut held: InstanceSettings,
    mut hangups: Signal,
) {
    let mut faulty = false;
    loop {
        let signalled = timeout(LOOK_PAUSE, hangups.recv()).await.is_ok();
        match InstanceSettings::load(&path) {
            Ok(settings) if settings == held => {
                if signalled {
                    info!("settings: read again at a signal, nothing has changed");
                }
                faulty = false;
            }
            Ok(settings) => {
                if settings.listen_address != held.listen_address
                    || settings.readiness_address != held.readiness_address
                {
                    warn!("settings: changed addresses are in force from the next start on");
                }
                info!("settings: changed bounds are in force: {:?}", settings.bounds);
                shared.apply_bounds(settings.bounds);
                held = settings;
                faulty = false;
            }
            // A fault that lasts is told once.
            Err(error) if !faulty => {
                warn!("settings: the last ones stay in force: {}", error);
                faulty = true;
            }
            Err(_) => {}
        }
    }
}
