//! Health check of the backend server.

use std::rc::Rc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::SharedState;
use super::suspects::LIVENESS_CHECK_TIME;

/// Interval between connection attempts while the backend server is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

impl SharedState {
    /// Marks the backend server as down and probes it until it accepts a
    /// connection. Does nothing if it is already marked.
    pub(crate) fn mark_backend_down(self: &Rc<Self>) {
        if !self.backend_up.replace(false) {
            return;
        }
        warn!("backend: accepts no connections");
        self.probe_backend(LIVENESS_CHECK_TIME);
    }

    /// Probes the backend server at the start. It has not failed yet, so a
    /// connection that it accepts is enough.
    pub(crate) fn probe_started_backend(self: &Rc<Self>) {
        self.probe_backend(Duration::ZERO);
    }

    /// Spawns a task that probes the backend server and marks it as up once a
    /// connection has stayed open for `check_time`.
    fn probe_backend(self: &Rc<Self>, check_time: Duration) {
        let shared = Rc::clone(self);
        spawn_local(async move {
            while !shared.settings.backend.stays_connected(check_time).await {
                sleep(PROBE_INTERVAL).await;
            }
            shared.backend_up.set(true);
            shared.record_backend_alive();
            info!("backend: accepts connections");
        });
    }
}
