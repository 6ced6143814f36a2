//! Connections to the backend server that wait for the next call.

use std::cell::RefCell;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::h1::ClientCodec;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection to the backend server between calls.
pub(super) type BackendConnection = Framed<TcpStream, ClientCodec>;

/// Connections kept.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// Time for which a connection is kept; far under the time after which
/// servers close idle connections.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Connections to the backend server that wait for the next call, the one
/// used last at the end.
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
    /// Takes a connection that the server has not closed.
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

    /// Keeps a connection whose last answer was read to its end.
    pub(super) fn put(&self, connection: BackendConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((Instant::now(), connection));
        }
    }
}

/// An open connection has nothing to read between calls.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
