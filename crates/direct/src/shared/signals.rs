//! What backend servers say in their responses about the requests that they accept.

use std::time::Duration;

use clementine_decide::fleet::Member;
use clementine_decide::ids::{BackendId, PoolId, Tick};
use clementine_decide::signals::{ResponseSignals, ResponseSource, SignalReport};
use clementine_platform::requests::BackendResponse;
use rand::RngExt;
use spdlog::{info, warn};

use super::SharedState;

/// Maximum factor by which a retry delay is lengthened.
const MAX_JITTER_FACTOR: f64 = 1.2;

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
        if signals.retry_delay.is_malformed() {
            self.metrics.count_malformed_signal("retry-delay");
            warn!("fleet: backend={} has an unreadable retry delay", id);
        }
        if self.fleet.borrow_mut().apply_signals(id, signals, source, self.now()) {
            self.update_limit_shares();
            self.places_freed();
            if let Some(member) = self.fleet.borrow().get(id) {
                log_signals(member, self.now(), "response");
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
                log_signals(member, self.now(), "reported");
                changed = true;
            }
        }
        if changed {
            self.update_limit_shares();
            self.places_freed();
        }
    }

    /// Records that a request is sent to a backend server.
    pub(crate) fn record_send(&self, id: &BackendId) {
        if let Some(member) = self.fleet.borrow_mut().get_mut(id) {
            member.signals.record_send(self.now());
        }
    }

    /// Whether a backend server has asked to be left alone: it gets no requests of
    /// callers, health checks or other calls.
    pub(crate) fn is_paused(&self, id: &BackendId) -> bool {
        let now = self.now();
        self.fleet.borrow().get(id).is_some_and(|member| member.signals.is_paused(now))
    }

    /// Retry delay for a caller whose request all servers of the pool have asked not
    /// to be sent, with jitter so that callers do not return at once.
    pub(crate) fn pool_retry_delay(&self, pool: &PoolId) -> Option<Duration> {
        let pause = self.fleet.borrow().pool_pause(pool, self.now())?;
        let jitter = self.rng.borrow_mut().random_range(1.0..MAX_JITTER_FACTOR);
        Some(pause.duration().mul_f64(jitter))
    }

    /// Divides the limits that backend servers name among the entries known now.
    pub(super) fn update_limit_shares(&self) {
        if !self.fleet.borrow().has_limits() {
            return;
        }
        let peers = self.peers.borrow();
        let known = self.entry_count.get().get();
        let sharing = peers.limit_sharing(&self.settings.entry, &self.settings.domain, known);
        self.fleet.borrow_mut().set_limit_shares(&sharing, self.now());
    }
}

fn log_signals(member: &Member, now: Tick, source: &'static str) {
    let limit = member.signals.limit().map_or_else(|| "none".into(), |limit| limit.to_string());
    info!(
        "fleet: backend={} limit_per_s={} draining={} paused_ms={} source={}",
        member.backend.id,
        limit,
        member.signals.is_draining(),
        member.signals.pause_left(now).0,
        source
    );
}
