//! Watches whether the backend server accepts connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Core;

/// Pause between attempts to connect while the backend server is down.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Longest time of one attempt.
const PROBE_TIME: Duration = Duration::from_millis(500);

impl Core {
    /// Notes that the backend server accepts no connections and probes it
    /// until it does.
    pub(crate) fn note_backend_down(self: &Rc<Self>) {
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
            while !accepts_connection(&core.settings.backend).await {
                sleep(PROBE_PAUSE).await;
            }
            core.backend_up.set(true);
            info!("backend: accepts connections");
        });
    }
}

async fn accepts_connection(base_url: &str) -> bool {
    let authority = base_url.trim_start_matches("http://").split('/').next().unwrap_or_default();
    let Ok(address) = authority.parse::<SocketAddr>() else { return false };
    matches!(timeout(PROBE_TIME, TcpStream::connect(address)).await, Ok(Ok(_)))
}
