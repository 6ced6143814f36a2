//! Address of the backend server and connections to it.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use actix_http::ServiceConfig;
use clementine_http1::ClientConn;
use compact_str::CompactString;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for connecting to the backend server, which runs beside the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Address of a backend server, written `http://IP:PORT`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BackendAddress(SocketAddr);

/// Text that is not the address of a backend server.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("`{text}` must be written like `http://10.0.0.1:8000`"))]
pub(crate) struct BackendAddressError {
    text: CompactString,
}

impl FromStr for BackendAddress {
    type Err = BackendAddressError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let authority = text.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
        let address = authority.and_then(|authority| authority.parse().ok());
        address.map(Self).ok_or_else(|| BackendAddressError { text: text.into() })
    }
}

impl std::fmt::Display for BackendAddress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

impl BackendAddress {
    /// Opens a connection for requests. Returns `None` if that fails or times out.
    pub(super) async fn connect(self, config: &ServiceConfig) -> Option<ClientConn> {
        ClientConn::connect(self.0, CONNECT_TIMEOUT, config).await.ok()
    }

    /// Whether a new connection is accepted and not closed by the server within
    /// `time`.
    pub(crate) async fn stays_connected(self, time: Duration) -> bool {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.0)).await;
        let Ok(Ok(stream)) = connected else { return false };
        // Readable without a request: closed, reset, or not an HTTP server.
        timeout(time, stream.readable()).await.is_err()
    }

    /// Returns the value of the `Host` header.
    pub(super) fn host(self) -> String {
        self.0.to_string()
    }
}
