//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 4_096;

/// Binds a listening socket with `SO_REUSEADDR`, so that a restarted process
/// can bind while connections of its predecessor are in `TIME_WAIT`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind_reusable(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
