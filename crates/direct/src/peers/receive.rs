//! Receives the messages of the other entries.

use std::io;
use std::net::SocketAddr;

use clementine_decide::peers::{
    PeerDatagram, PeerMessage, PeerReport, PeerUpdate, Sighting, SightingStep,
};
use spdlog::{debug, info, warn};

use super::directory::EntryRecord;
use super::exchange::PeerExchange;
use crate::crashes::merge_crashes;
use crate::engines::apply_sighting;

impl PeerExchange {
    pub(super) async fn receive(&mut self, received: io::Result<(usize, SocketAddr)>, buf: &[u8]) {
        let (size, from) = match received {
            Ok(received) => received,
            Err(error) => return warn!("peers: receiving a message failed: {}", error),
        };
        match rmp_serde::from_slice(&buf[..size]) {
            Ok(PeerDatagram::Status(message)) => self.record_status(*message, from),
            Ok(PeerDatagram::Changes(changes)) => {
                self.shared.table_sync(changes.table).push_changes(changes);
            }
            Ok(PeerDatagram::Sighting(sighting)) => self.receive_sighting(sighting).await,
            Ok(PeerDatagram::Crashes(report)) => merge_crashes(&self.shared, &[report]),
            Ok(PeerDatagram::SlackReport(report)) => {
                let now = self.shared.now();
                self.shared.slack_reports.borrow_mut().record(report, now);
            }
            Ok(PeerDatagram::SlackRecall(recall)) => self.answer_recall(&recall, from).await,
            Ok(PeerDatagram::SlackAnswer(answer)) => self.shared.record_slack_answer(&answer),
            Err(error) => {
                self.shared.metrics.count_malformed_message();
                debug!("peers: malformed message from {}: {}", from, error);
            }
        }
    }

    fn record_status(&mut self, mut message: PeerMessage, from: SocketAddr) {
        let id = message.from.clone();
        let own_id = &self.shared.settings.entry;
        if id == *own_id {
            return;
        }
        // Others pass on the announcements of this entry as well.
        message.planner.take_if(|planner| planner.holder == *own_id);
        let record = EntryRecord { address: from, domain: message.domain.clone() };
        self.receivers.borrow_mut().insert(id.clone(), record);
        if let PeerReport::Entry { feed: Some(feed), .. } = &message.report {
            self.shared.config_sync.record_peer_position(feed.config);
            self.shared.backend_list_sync.record_peer_position(feed.backends);
        }
        self.shared.config_sync.record_peer_version(message.config_newest);
        self.shared.backend_list_sync.record_peer_version(message.list_newest);
        merge_crashes(&self.shared, &message.crashes);
        self.shared.merge_signals(&message.signals);
        let now = self.shared.now();
        let update = self.shared.peers.borrow_mut().record(message, now);
        if update == PeerUpdate::Joined {
            info!("peers: entry={} address={} joined", id, from);
        }
        self.loads_changed |= update != PeerUpdate::Ignored;
    }

    /// Handles a report on a backend server, and passes one that came from another
    /// failure domain on to the neighbors.
    async fn receive_sighting(&self, sighting: Sighting) {
        let step = self.shared.sightings.borrow_mut().record(&sighting, self.shared.now());
        if step == SightingStep::Ignore {
            return;
        }
        apply_sighting(&self.shared, &sighting, step);
        if !sighting.within_domain {
            let neighbors: Vec<SocketAddr> = self.receivers.borrow().neighbors().collect();
            let within = Sighting { within_domain: true, ..sighting };
            self.send_datagram(&PeerDatagram::Sighting(within), &neighbors).await;
        }
    }
}
