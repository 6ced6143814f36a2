//! Socket options that every connection shares.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the kernel probes the peer.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Pause between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection counts as lost.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged before the connection
/// counts as lost.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Turns off Nagle's algorithm and lets the kernel notice a vanished peer.
pub(crate) fn configure(io: &TcpStream) -> io::Result<()> {
    io.set_nodelay(true)?;
    let socket = SockRef::from(io);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
