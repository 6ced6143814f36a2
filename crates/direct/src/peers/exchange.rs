//! Sends and receives the entries' messages.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::EntryId;
use clementine_decide::peers::{BackendLoad, LinkLoad, PeerMessage, PeerUpdate};
use clementine_platform::store::StoreError;
use spdlog::{debug, info, warn};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use super::directory::{read_peers, register};
use crate::shared::SharedState;

/// Minimum interval between two messages to the same entry.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time by which each peer lengthens the interval. This bounds the bytes that an
/// entry sends and receives.
const SEND_INTERVAL_PER_PEER: Duration = Duration::from_millis(15);
/// Interval at which the directory is read.
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(15);
/// Delay after the directory could not be read.
const DIRECTORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum size of a received message in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Maximum number of backend servers in one message.
const MAX_LOADS: usize = 512;

/// Exchanges messages with the other entries until the process ends.
pub(crate) async fn exchange_messages(shared: Rc<SharedState>) {
    let Some((port, _)) = shared.settings.internal_ports else {
        return warn!("peers: `internal-ports` is not set, no messages to other entries");
    };
    let address = SocketAddr::new(shared.settings.ip, port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => return warn!("peers: cannot bind {}: {}", address, error),
    };
    let address = socket.local_addr().unwrap_or(address);
    let mut exchange = PeerExchange {
        shared,
        socket,
        address,
        peers: HashMap::new(),
        registered: false,
        sequence: 0,
    };
    exchange.run().await;
}

struct PeerExchange {
    shared: Rc<SharedState>,
    socket: UdpSocket,
    address: SocketAddr,
    peers: HashMap<EntryId, SocketAddr>,
    registered: bool,
    /// Sequence number of the last message.
    sequence: u64,
}

impl PeerExchange {
    async fn run(&mut self) {
        let mut buf = vec![0; MAX_MESSAGE_BYTES];
        let mut send_at = Instant::now();
        let mut refresh_at = Instant::now();
        loop {
            if Instant::now() >= refresh_at {
                refresh_at = Instant::now() + self.refresh_directory().await;
            }
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => self.receive(received, &buf),
                () = sleep_until(send_at) => {
                    self.send().await;
                    let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
                    send_at = Instant::now() + MIN_SEND_INTERVAL + SEND_INTERVAL_PER_PEER * peers;
                }
            }
        }
    }

    /// Refreshes the peers' addresses and returns the time until the next
    /// refresh.
    async fn refresh_directory(&mut self) -> Duration {
        match self.register_and_read().await {
            Ok(()) => DIRECTORY_INTERVAL,
            Err(error) => {
                warn!("peers: cannot access the directory of entries: {}", error);
                DIRECTORY_RETRY_DELAY
            }
        }
    }

    /// Registers this entry before it reads the directory: of two entries that
    /// start at the same time, the second one to read finds the first.
    async fn register_and_read(&mut self) -> Result<(), StoreError> {
        if !self.registered {
            register(&self.shared, self.address).await?;
            self.registered = true;
        }
        self.peers = read_peers(&self.shared).await?;
        Ok(())
    }

    fn receive(&mut self, received: io::Result<(usize, SocketAddr)>, buf: &[u8]) {
        let (size, from) = match received {
            Ok(received) => received,
            Err(error) => return warn!("peers: receiving a message failed: {}", error),
        };
        let message: PeerMessage = match rmp_serde::from_slice(&buf[..size]) {
            Ok(message) => message,
            Err(error) => return warn!("peers: malformed message from {}: {}", from, error),
        };
        let id = message.from.clone();
        if id == self.shared.settings.entry {
            return;
        }
        self.peers.insert(id.clone(), from);
        self.shared.config_sync.record_peer_version(message.config_newest);
        self.shared.backend_list_sync.record_peer_version(message.list_newest);
        let now = self.shared.now();
        let update = self.shared.peers.borrow_mut().record(message, now);
        if update == PeerUpdate::Joined {
            info!("peers: entry={} address={} joined", id, from);
        }
        self.shared.apply_peer_loads();
    }

    async fn send(&mut self) {
        let now = self.shared.now();
        let expired = self.shared.peers.borrow_mut().remove_expired(now);
        for id in expired {
            info!("peers: entry={} expired, no recent message", id);
            self.shared.apply_peer_loads();
        }
        self.sequence += 1;
        let message = self.message();
        let bytes = match rmp_serde::to_vec(&message) {
            Ok(bytes) => bytes,
            Err(error) => return warn!("peers: encoding a message failed: {}", error),
        };
        for (id, address) in &self.peers {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                debug!("peers: sending to entry={} failed: {}", id, error);
            }
        }
    }

    fn links(&self) -> Vec<LinkLoad> {
        let links = self.shared.links.borrow();
        let used = links.local(self.shared.now()).filter(|(_, bytes_per_ms)| *bytes_per_ms >= 1.0);
        let loads = used.map(|(link, bytes_per_ms)| {
            let (a, b) = link.domains();
            LinkLoad { a: a.clone(), b: b.clone(), bytes_per_ms }
        });
        loads.collect()
    }

    fn message(&self) -> PeerMessage {
        let fleet = self.shared.fleet.borrow();
        let busy = fleet.iter().filter(|member| member.in_flight > 0);
        let loads = busy.take(MAX_LOADS).map(|member| BackendLoad {
            backend: member.id_hash,
            in_flight: member.in_flight,
            tokens: member.used_tokens as u32,
        });
        PeerMessage {
            from: self.shared.settings.entry.clone(),
            incarnation: self.shared.incarnation,
            sequence: self.sequence,
            config_newest: self.shared.config_sync.newest_version(),
            list_newest: self.shared.backend_list_sync.newest_version(),
            planner_lease_version: self.shared.held_lease_version(),
            leaving: self.shared.drain.is_draining(),
            loads: loads.collect(),
            links: self.links(),
        }
    }
}
