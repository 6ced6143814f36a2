//! Watches whether the backend server accepts connections.

use std::rc::Rc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Core;

/// Pause between attempts to connect while the backend server is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Notes that the backend server accepts no connections and probes it
    /// until it does.
    pub(crate) fn mark_backend_down(self: &Rc<Self>) {
        if !self.backend_up.replace(false) {
            return;
        }
        warn!("backend: accepts no connections");
        self.probe_backend();
    }

    /// Probes the backend server until it accepts a connection.
    pub(crate) fn probe_backend(self: &Rc<Self>) {
        let core = Rc::clone(self);
        spawn_local(async move {
            while core.settings.backend.connect().await.is_none() {
                sleep(PROBE_INTERVAL).await;
            }
            core.backend_up.set(true);
            info!("backend: accepts connections");
        });
    }
}
