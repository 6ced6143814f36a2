//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Binds a listening socket at once even where connections of an earlier
/// process on the address are still closing.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn bind_reusable(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
