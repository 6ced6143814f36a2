//! Sends and receives the entries' messages.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::EntryId;
use clementine_decide::peers::{BackendLoad, LinkLoad, PeerMessage, PeerUpdate};
use clementine_platform::store::StoreError;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use super::directory::{others, register};
use crate::shared::SharedState;

/// Least pause between two rounds of messages.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Pause that each further entry adds, which bounds the bytes that an entry
/// sends and receives.
const PAUSE_PER_PEER: Duration = Duration::from_millis(15);
/// Pause between two readings of the table of entries.
const DIRECTORY_PAUSE: Duration = Duration::from_secs(15);
/// Pause after a reading that failed.
const DIRECTORY_RETRY: Duration = Duration::from_secs(1);
/// Largest message, in bytes.
const MESSAGE_LIMIT: usize = 16 * 1024;
/// Most backend servers in one message.
const LOADS_LIMIT: usize = 512;

/// Tells the other entries what this one does, and listens to them.
pub(crate) async fn talk_to_peers(shared: Rc<SharedState>) {
    let Some((port, _)) = shared.settings.internal_ports else {
        return warn!("peers: no port is set, the other entries are not told anything");
    };
    let address = SocketAddr::new(shared.settings.ip, port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => return warn!("peers: {} can't be bound: {}", address, error),
    };
    let address = socket.local_addr().unwrap_or(address);
    let mut talk =
        Talk { shared, socket, address, others: HashMap::new(), registered: false, number: 0 };
    talk.run().await;
}

struct Talk {
    shared: Rc<SharedState>,
    socket: UdpSocket,
    address: SocketAddr,
    others: HashMap<EntryId, SocketAddr>,
    registered: bool,
    number: u64,
}

impl Talk {
    async fn run(&mut self) {
        let mut buf = vec![0; MESSAGE_LIMIT];
        let mut send_at = Instant::now();
        let mut read_at = Instant::now();
        loop {
            if Instant::now() >= read_at {
                read_at = Instant::now() + self.read_directory().await;
            }
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => self.receive(received, &buf),
                () = sleep_until(send_at) => {
                    self.send().await;
                    let peers = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
                    send_at = Instant::now() + LEAST_PAUSE + PAUSE_PER_PEER * peers;
                }
            }
        }
    }

    async fn read_directory(&mut self) -> Duration {
        match self.meet().await {
            Ok(()) => DIRECTORY_PAUSE,
            Err(error) => {
                warn!("peers: the table of entries can't be read: {}", error);
                DIRECTORY_RETRY
            }
        }
    }

    /// Registers before it reads: of two entries that start together, the
    /// second to read finds the first.
    async fn meet(&mut self) -> Result<(), StoreError> {
        if !self.registered {
            register(&self.shared, self.address).await?;
            self.registered = true;
        }
        self.others = others(&self.shared).await?;
        Ok(())
    }

    fn receive(&mut self, received: io::Result<(usize, SocketAddr)>, buf: &[u8]) {
        let (size, from) = match received {
            Ok(received) => received,
            Err(error) => return warn!("peers: no message can be received: {}", error),
        };
        let message: PeerMessage = match rmp_serde::from_slice(&buf[..size]) {
            Ok(message) => message,
            Err(error) => return warn!("peers: a message from {} can't be read: {}", from, error),
        };
        let id = message.from.clone();
        if id == self.shared.settings.entry {
            return;
        }
        self.others.insert(id.clone(), from);
        self.shared.config_sync.record_peer_version(message.config_newest);
        self.shared.backend_list_sync.record_peer_version(message.list_newest);
        let now = self.shared.now();
        let news = self.shared.peers.borrow_mut().record(message, now);
        if news == PeerUpdate::Joined {
            info!("peers: entry={} address={} heard", id, from);
        }
        self.shared.apply_peer_loads();
    }

    async fn send(&mut self) {
        let now = self.shared.now();
        let gone = self.shared.peers.borrow_mut().remove_expired(now);
        for id in gone {
            info!("peers: entry={} not heard any more", id);
            self.shared.apply_peer_loads();
        }
        self.number += 1;
        let message = self.message();
        let bytes = match rmp_serde::to_vec(&message) {
            Ok(bytes) => bytes,
            Err(error) => return warn!("peers: the message can't be written: {}", error),
        };
        for (id, address) in &self.others {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                spdlog::debug!("peers: entry={} can't be told: {}", id, error);
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
        let loads = busy.take(LOADS_LIMIT).map(|member| BackendLoad {
            backend: member.tag,
            in_flight: member.in_flight,
            tokens: member.used_tokens as u32,
        });
        PeerMessage {
            from: self.shared.settings.entry.clone(),
            incarnation: self.shared.incarnation,
            sequence: self.number,
            config_newest: self.shared.config_sync.newest_version(),
            list_newest: self.shared.backend_list_sync.newest_version(),
            planner_lease_version: self.shared.held_lease_version(),
            leaving: self.shared.drain.is_draining(),
            loads: loads.collect(),
            links: self.links(),
        }
    }
}
