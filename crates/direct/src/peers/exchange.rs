//! Sends the messages.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::Tick;
use clementine_decide::peers::{
    ConfigOffer, PeerDatagram, PeerMessage, PeerReport, PlannerAnnouncement, Sighting,
    send_interval,
};
use clementine_decide::quarantine::CrashReport;
use clementine_decide::signals::SignalReport;
use clementine_objects::Millis;
use clementine_process::http::bind_reusable;
use spdlog::{debug, info, warn};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::config_offer::{serve_config, take_newer_configs};
use super::directory::follow_directory;
use super::load::{MAX_REPORTED_BACKENDS, local_load};
use super::receivers::Receivers;
use crate::accept::accept_connections;
use crate::shared::{SharedState, UrgentMessage};

/// Interval at which received loads are applied. Summing them up costs more than
/// receiving a message.
const APPLY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the start in which this entry sends no summaries, because it may not
/// have heard all entries of its failure domain yet.
const LISTEN_TIME: Millis = Millis(1_000);
/// Maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Maximum number of suspects of crashes in one message.
const MAX_CRASH_REPORTS: usize = 8;
/// Maximum number of backend servers on whose signals a message reports.
const MAX_SIGNAL_REPORTS: usize = 16;

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
    // With port 0, each of the two sockets gets a free port of its own: the neighbors
    // learn the address of the configuration from messages.
    let config_address = offer_config(&shared, address);
    let address = socket.local_addr().unwrap_or(address);
    let receivers = Receivers::new(shared.settings.entry.clone(), shared.settings.domain.clone());
    let receivers = Rc::new(RefCell::new(receivers));
    spawn_local(follow_directory(Rc::clone(&shared), address, Rc::clone(&receivers)));
    let mut exchange = PeerExchange {
        shared,
        socket,
        receivers,
        config_address,
        sequence: 0,
        round: 0,
        loads_changed: false,
    };
    exchange.run().await;
}

/// Serves the configuration to the neighbors at `address`, and takes theirs. Returns the address of the server, or `None` if it cannot be bound.
fn offer_config(shared: &Rc<SharedState>, address: SocketAddr) -> Option<SocketAddr> {
    spawn_local(take_newer_configs(Rc::clone(shared)));
    let bound = bind_reusable(address).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    match bound {
        Ok((listener, address)) => {
            spawn_local(accept_connections(listener, Rc::clone(shared), "peers", serve_config));
            Some(address)
        }
        Err(error) => {
            warn!("peers: cannot offer the configuration at {}: {}", address, error);
            None
        }
    }
}

/// Facts that are the same in all messages of a round.
#[derive(Clone)]
struct News {
    crashes: Vec<CrashReport>,
    signals: Vec<SignalReport>,
}

/// Exchange of messages with the other entries. Receiving is in `receive`.
pub(super) struct PeerExchange {
    pub(super) shared: Rc<SharedState>,
    socket: UdpSocket,
    pub(super) receivers: Rc<RefCell<Receivers>>,
    /// Address at which the neighbors fetch this entry's configuration.
    config_address: Option<SocketAddr>,
    /// Sequence number of the last message.
    sequence: u64,
    /// Number of times that messages were sent.
    round: u64,
    /// Whether loads were received that have not been applied yet.
    pub(super) loads_changed: bool,
}

impl PeerExchange {
    async fn run(&mut self) {
        let shared = Rc::clone(&self.shared);
        let mut buf = vec![0; MAX_MESSAGE_BYTES];
        let mut send_at = Instant::now();
        let mut apply_at = Instant::now();
        let mut slack_at = Instant::now();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => self.receive(received, &buf).await,
                message = shared.outbox.next() => self.send_urgent(message).await,
                () = sleep_until(send_at) => send_at = Instant::now() + self.send().await,
                () = sleep_until(slack_at) => slack_at = Instant::now() + self.send_slack().await,
                () = sleep_until(apply_at), if self.loads_changed => {
                    self.loads_changed = false;
                    self.shared.apply_peer_loads();
                    apply_at = Instant::now() + APPLY_INTERVAL;
                }
            }
        }
    }

    /// Sends the next messages and returns the time until those after them.
    async fn send(&mut self) -> Duration {
        let now = self.shared.now();
        for id in self.shared.peers.borrow_mut().remove_expired(now) {
            info!("peers: entry={} expired, no recent message", id);
            self.loads_changed = true;
        }
        self.round += 1;
        let neighbors: Vec<SocketAddr> = self.receivers.borrow().neighbors().collect();
        let remote = if now.uptime() < LISTEN_TIME { Vec::new() } else { self.remote_receivers() };
        let interval = send_interval(neighbors.len() + remote.len());
        let load = local_load(&self.shared);
        let leaving = self.shared.drain.is_draining();
        let news = self.news(now);
        if !remote.is_empty() {
            let summary =
                self.shared.peers.borrow().summarize(&load, leaving, MAX_REPORTED_BACKENDS);
            let report = PeerReport::Domain(summary);
            self.send_report(report, interval, news.clone(), &remote).await;
        }
        let feed = self.shared.feed_positions();
        let config = self.config_offer();
        let report = PeerReport::Entry { leaving, feed, config, load };
        self.send_report(report, interval, news, &neighbors).await;
        interval.duration()
    }

    fn config_offer(&self) -> Option<ConfigOffer> {
        let version = self.shared.routing_table()?.version;
        Some(ConfigOffer { version, address: self.config_address? })
    }

    async fn send_report(
        &mut self,
        report: PeerReport,
        interval: Millis,
        news: News,
        receivers: &[SocketAddr],
    ) {
        let message = self.message(report, interval, news);
        self.send_datagram(&PeerDatagram::Status(Box::new(message)), receivers).await;
    }

    /// Sends a message without waiting for the next status message.
    ///
    /// Changes that are too large for a datagram are read from the store by each of
    /// the neighbors.
    async fn send_urgent(&self, message: UrgentMessage) {
        let neighbors: Vec<SocketAddr> = self.receivers.borrow().neighbors().collect();
        match message {
            UrgentMessage::Changes(changes) => {
                self.send_datagram(&PeerDatagram::Changes(changes), &neighbors).await;
            }
            UrgentMessage::Sighting(sighting) => {
                let remote = self.remote_receivers();
                let across = Sighting { within_domain: false, ..sighting.clone() };
                let within = Sighting { within_domain: true, ..sighting };
                self.send_datagram(&PeerDatagram::Sighting(within), &neighbors).await;
                self.send_datagram(&PeerDatagram::Sighting(across), &remote).await;
            }
            UrgentMessage::Crashes(report) => {
                let remote = self.remote_receivers();
                let datagram = PeerDatagram::Crashes(report);
                self.send_datagram(&datagram, &[neighbors, remote].concat()).await;
            }
            UrgentMessage::Slack(report) => {
                self.send_datagram(&PeerDatagram::SlackReport(report), &self.witnesses()).await;
            }
        }
    }

    /// Entries of other failure domains that this entry sends to in this round.
    fn remote_receivers(&self) -> Vec<SocketAddr> {
        self.receivers.borrow().summary_receivers(&self.shared.peers.borrow(), self.round)
    }

    pub(super) async fn send_datagram(&self, datagram: &PeerDatagram, receivers: &[SocketAddr]) {
        let bytes = match rmp_serde::to_vec(datagram) {
            Ok(bytes) => bytes,
            Err(error) => return warn!("peers: encoding a message failed: {}", error),
        };
        if bytes.len() > MAX_MESSAGE_BYTES {
            return debug!("peers: a message of {} bytes is too large", bytes.len());
        }
        for address in receivers {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                debug!("peers: sending to {} failed: {}", address, error);
            }
        }
    }

    /// What to tell all receivers of a round.
    fn news(&self, now: Tick) -> News {
        let mut crash_log = self.shared.crash_log.borrow_mut();
        let mut fleet = self.shared.fleet.borrow_mut();
        News {
            crashes: crash_log.next_reports(MAX_CRASH_REPORTS, now),
            signals: fleet.next_signal_reports(MAX_SIGNAL_REPORTS, now),
        }
    }

    fn message(&mut self, report: PeerReport, interval: Millis, news: News) -> PeerMessage {
        self.sequence += 1;
        PeerMessage {
            from: self.shared.settings.entry.clone(),
            domain: self.shared.settings.domain.clone(),
            incarnation: self.shared.incarnation,
            sequence: self.sequence,
            interval,
            config_newest: self.shared.config_sync.newest_version_anywhere(),
            list_newest: self.shared.backend_list_sync.newest_version_anywhere(),
            planner: self.planner(),
            crashes: news.crashes,
            signals: news.signals,
            report,
        }
    }

    /// The holder of the planner's lease: this entry, or the one that others have
    /// announced.
    fn planner(&self) -> Option<PlannerAnnouncement> {
        let Some(lease_version) = self.shared.held_lease_version() else {
            return self.shared.peers.borrow().planner(self.shared.now());
        };
        let holder = self.shared.settings.entry.clone();
        Some(PlannerAnnouncement { holder, lease_version, age: Millis(0) })
    }
}
