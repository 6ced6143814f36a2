//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

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

/// Closes a listening socket. Returns the connections that wait in its backlog, which
/// the system would otherwise reset with their requests.
pub fn close_listener(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    // The runtime may not have noticed the last connections yet, so the system is asked.
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let accept = || {
        let (stream, peer) = listener.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        Some((TcpStream::from_std(stream).ok()?, peer))
    };
    std::iter::from_fn(accept).collect()
}
