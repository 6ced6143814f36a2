//! Pool of idle connections to the backend server.

use std::cell::RefCell;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::h1::ClientCodec;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection to the backend server.
pub(super) type BackendConnection = Framed<TcpStream, ClientCodec>;

/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// Maximum idle time of a connection; well below the time after which servers
/// usually close idle connections.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Idle connections to the backend server, the most recently used one last. Opening
/// a connection for each repeatable request makes the search for a free local
/// port a bottleneck at high request rates (docs/design/agent.md).
#[derive(Default)]
pub(crate) struct IdleConnections {
    idle: RefCell<Vec<(Instant, BackendConnection)>>,
}

impl std::fmt::Debug for IdleConnections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IdleConnections").field("idle", &self.idle.borrow().len()).finish()
    }
}

impl IdleConnections {
    /// Takes the most recently used connection that is still open.
    pub(super) fn take(&self) -> Option<BackendConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(since, _)| since.elapsed() < MAX_IDLE_TIME);
        while let Some((_, connection)) = idle.pop() {
            if is_open(connection.io_ref()) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose last response was read completely. Drops it if
    /// the pool is full.
    pub(super) fn put(&self, connection: BackendConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((Instant::now(), connection));
        }
    }
}

/// Returns whether an idle connection is open: a read has to block. End of
/// stream, an error or unexpected data make the connection unusable.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
