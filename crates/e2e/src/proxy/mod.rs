//! A TCP proxy that can close connections or stop forwarding on them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// How a proxy handles new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards data in both directions.
    Forward,
    /// Accepts connections and keeps them open, but forwards no data.
    Blackhole,
    /// Closes connections as soon as they are accepted.
    Close,
}

/// A TCP proxy in front of one process.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    target: Rc<Cell<SocketAddr>>,
    mode: Rc<Cell<ProxyMode>>,
    /// Connections up to and including this number are blackholed.
    last_blackholed: Rc<Cell<u64>>,
    /// Number of connections accepted so far; connections are numbered from 1.
    accepted: Rc<Cell<u64>>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind a port");
        let proxy = Self {
            address: listener.local_addr().expect("the listener is bound"),
            target: Rc::new(Cell::new(target)),
            mode: Rc::new(Cell::new(ProxyMode::Forward)),
            last_blackholed: Rc::default(),
            accepted: Rc::default(),
            tasks: Rc::default(),
        };
        proxy.accept(listener);
        proxy
    }

    /// Returns the listen address of the proxy.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(target);
    }

    /// Changes the handling of new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.set(mode);
    }

    /// Permanently stops forwarding on all open connections, without closing them. New
    /// connections are not affected.
    pub fn blackhole_open_connections(&self) {
        self.last_blackholed.set(self.accepted.get());
    }

    /// Closes all open connections.
    pub fn close_open_connections(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    fn accept(&self, listener: TcpListener) {
        let (target, mode) = (Rc::clone(&self.target), Rc::clone(&self.mode));
        let (last_blackholed, accepted) =
            (Rc::clone(&self.last_blackholed), Rc::clone(&self.accepted));
        let tasks = Rc::clone(&self.tasks);
        spawn_local(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                accepted.set(accepted.get() + 1);
                let number = accepted.get();
                match mode.get() {
                    ProxyMode::Close => drop(inbound),
                    ProxyMode::Blackhole => {
                        let hold = async move {
                            let _inbound = inbound;
                            std::future::pending::<()>().await;
                        };
                        tasks.borrow_mut().push(spawn_local(hold));
                    }
                    ProxyMode::Forward => {
                        let last_blackholed = Rc::clone(&last_blackholed);
                        let is_blackholed = move || number <= last_blackholed.get();
                        let forward = forward(inbound, target.get(), is_blackholed);
                        tasks.borrow_mut().push(spawn_local(forward));
                    }
                }
            }
        });
    }
}

/// Forwards data in both directions until one direction ends.
async fn forward(inbound: TcpStream, target: SocketAddr, is_blackholed: impl Fn() -> bool + Clone) {
    let Ok(outbound) = TcpStream::connect(target).await else { return };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (in_read, in_write) = inbound.into_split();
    let (out_read, out_write) = outbound.into_split();
    tokio::select! {
        () = copy(in_read, out_write, is_blackholed.clone()) => {}
        () = copy(out_read, in_write, is_blackholed) => {}
    }
}

/// Copies data until the end of the stream or an error. Never returns once the
/// connection is blackholed, so that both sides stay open.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_blackholed: impl Fn() -> bool) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        if is_blackholed() {
            std::future::pending::<()>().await;
        }
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
