//! Socket options common to all connections.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is considered lost.
const KEEPALIVE_RETRIES: u32 = 2;
/// Maximum time that data sent to a server may remain unacknowledged before the
/// connection is considered lost (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Configures a connection to a server. Sets the timeouts by which the kernel detects
/// an unreachable peer.
pub(crate) fn configure_client(io: &TcpStream) -> io::Result<()> {
    configure(io)?;
    SockRef::from(io).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Configures a connection from a client. `TCP_USER_TIMEOUT` is not set, because the
/// kernel also applies it to a peer that acknowledges everything but reads nothing, and
/// resets the connections of clients that only read slowly.
pub(crate) fn configure_server(io: &TcpStream) -> io::Result<()> {
    configure(io)
}

/// Disables Nagle's algorithm and enables keepalive probes.
fn configure(io: &TcpStream) -> io::Result<()> {
    io.set_nodelay(true)?;
    let socket = SockRef::from(io);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
