//! What backend servers say in their responses about the requests that they accept.

use clementine_decide::fleet::Member;
use clementine_decide::ids::BackendId;
use clementine_decide::signals::{ResponseSignals, ResponseSource, SignalReport};
use clementine_platform::requests::BackendResponse;
use spdlog::{info, warn};

use super::SharedState;

impl SharedState {
    /// Applies the signals in a response of a backend server.
    pub(crate) fn apply_signals(
        &self,
        id: &BackendId,
        signals: ResponseSignals,
        source: ResponseSource,
    ) {
        if signals.limit.is_malformed() {
            self.metrics.count_malformed_signal("limit");
            warn!("fleet: backend={} names a limit that is no number", id);
        }
        if signals.draining.is_malformed() {
            self.metrics.count_malformed_signal("draining");
            warn!("fleet: backend={} has an unreadable header on draining", id);
        }
        if self.fleet.borrow_mut().apply_signals(id, signals, source, self.now()) {
            self.update_limit_shares();
            if let Some(member) = self.fleet.borrow().get(id) {
                log_signals(member, "response");
            }
        }
    }

    /// Applies the signals in the response to a caller's request. A response that
    /// does not come from the expected server, or may not, says nothing.
    pub(crate) fn apply_response_signals(&self, id: &BackendId, response: &BackendResponse) {
        if !response.is_misdirected() {
            self.apply_signals(id, response.signals, ResponseSource::Caller);
        }
    }

    /// Merges what another entry knows of the signals of backend servers.
    pub(crate) fn merge_signals(&self, reports: &[SignalReport]) {
        let mut changed = false;
        for report in reports {
            if let Some(member) = self.fleet.borrow_mut().merge_signals(report, self.now()) {
                log_signals(member, "reported");
                changed = true;
            }
        }
        if changed {
            self.update_limit_shares();
        }
    }

    /// Records that a request is sent to a backend server.
    pub(crate) fn record_send(&self, id: &BackendId) {
        if let Some(member) = self.fleet.borrow_mut().get_mut(id) {
            member.signals.record_send(self.now());
        }
    }

    /// Divides the limits that backend servers name among the entries known now.
    pub(super) fn update_limit_shares(&self) {
        let peers = self.peers.borrow();
        let sharing = peers.limit_sharing(&self.settings.entry, &self.settings.domain);
        self.fleet.borrow_mut().set_limit_shares(&sharing, self.now());
    }
}

fn log_signals(member: &Member, source: &'static str) {
    let limit = member.signals.limit().map_or_else(|| "none".into(), |limit| limit.to_string());
    info!(
        "fleet: backend={} limit_per_s={} draining={} source={}",
        member.backend.id,
        limit,
        member.signals.is_draining(),
        source
    );
}
