//! Pool of idle connections to the backend server.

use std::cell::RefCell;
use std::time::Duration;

use actix_http::ServiceConfig;
use clementine_http1::{ClientConn, ServerConn};
use tokio::time::Instant;

/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// Maximum idle time of a connection; well below the time after which servers
/// usually close idle connections.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Idle connections to the backend server, the most recently used one last. Opening
/// a connection for each repeatable request makes the search for a free local
/// port a bottleneck at high request rates (docs/design/agent.md).
pub(crate) struct IdleConnections {
    idle: RefCell<Vec<(Instant, ClientConn)>>,
    /// Codec settings of all connections.
    config: ServiceConfig,
}

impl Default for IdleConnections {
    fn default() -> Self {
        Self { idle: RefCell::default(), config: ServerConn::codec_config() }
    }
}

impl std::fmt::Debug for IdleConnections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IdleConnections")
            .field("idle", &self.idle.borrow().len())
            .finish_non_exhaustive()
    }
}

impl IdleConnections {
    /// Codec settings for new connections.
    pub(super) const fn config(&self) -> &ServiceConfig {
        &self.config
    }

    /// Takes the most recently used connection that can still be used.
    pub(super) fn take(&self) -> Option<ClientConn> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(since, _)| since.elapsed() < MAX_IDLE_TIME);
        while let Some((_, connection)) = idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection after a request. Drops it if it cannot carry another one,
    /// for example because bytes followed the response, or if the pool is full.
    pub(super) fn put(&self, connection: ClientConn) {
        let mut idle = self.idle.borrow_mut();
        if connection.is_reusable() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((Instant::now(), connection));
        }
    }
}
