//! A relay that cuts connections or lets them go silent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// What a relay does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Relays new connections.
    Forward,
    /// Accepts new connections and relays nothing on them.
    Blackhole,
    /// Closes new connections at once.
    Close,
}

/// A relay in front of one process.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    target: Rc<Cell<SocketAddr>>,
    mode: Rc<Cell<ProxyMode>>,
    /// Whether the connections opened before are silent, by generation.
    silent_before: Rc<Cell<u64>>,
    generation: Rc<Cell<u64>>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Proxy {
    /// Starts a relay on a free port.
    ///
    /// # Panics
    ///
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("a bound address"),
            target: Rc::new(Cell::new(target)),
            mode: Rc::new(Cell::new(ProxyMode::Forward)),
            silent_before: Rc::default(),
            generation: Rc::default(),
            tasks: Rc::default(),
        };
        proxy.accept(listener);
        proxy
    }

    /// Address of the relay.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the process behind the relay.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(target);
    }

    /// Changes what is done with new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.set(mode);
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn blackhole_open_connections(&self) {
        self.silent_before.set(self.generation.get());
    }

    /// Closes all open connections.
    pub fn close_open_connections(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    fn accept(&self, listener: TcpListener) {
        let (target, mode) = (Rc::clone(&self.target), Rc::clone(&self.mode));
        let (silent_before, generation) =
            (Rc::clone(&self.silent_before), Rc::clone(&self.generation));
        let tasks = Rc::clone(&self.tasks);
        spawn_local(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                generation.set(generation.get() + 1);
                let number = generation.get();
                match mode.get() {
                    ProxyMode::Close => drop(inbound),
                    ProxyMode::Blackhole => {
                        let hold = async move {
                            let _held = inbound;
                            std::future::pending::<()>().await;
                        };
                        tasks.borrow_mut().push(spawn_local(hold));
                    }
                    ProxyMode::Forward => {
                        let silent_before = Rc::clone(&silent_before);
                        let silent = move || number <= silent_before.get();
                        let relay = relay(inbound, target.get(), silent);
                        tasks.borrow_mut().push(spawn_local(relay));
                    }
                }
            }
        });
    }
}

async fn relay(inbound: TcpStream, target: SocketAddr, silent: impl Fn() -> bool + Clone) {
    let Ok(outbound) = TcpStream::connect(target).await else { return };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (in_read, in_write) = inbound.into_split();
    let (out_read, out_write) = outbound.into_split();
    tokio::select! {
        () = copy(in_read, out_write, silent.clone()) => {}
        () = copy(out_read, in_write, silent) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, silent: impl Fn() -> bool) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        if silent() {
            std::future::pending::<()>().await;
        }
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
