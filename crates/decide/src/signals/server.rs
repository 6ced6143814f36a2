//! Signals of one backend server, from its responses and from other entries.

use clementine_objects::Millis;

use super::{LimitReport, LimitShare, RequestRate, ResponseSignals, Signal, SignalReport};
use crate::circuit::TokenBucket;
use crate::fleet::BackendIncarnation;
use crate::ids::Tick;
use crate::peers::MIN_REPORTS;

/// Maximum time for which a server is left alone at its request. A longer time is
/// taken for a mistake.
const MAX_RETRY_DELAY: Millis = Millis(3_600_000);

/// The kind of request that a response belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseSource {
    /// A request of a caller. Its response names the limit, if there is one.
    Caller,
    /// A request of this entry itself, such as a health check, whose response may
    /// leave out the limit.
    Entry,
}

/// The limit that a server names.
#[derive(Debug, Clone)]
struct NamedLimit {
    /// `None` if the server no longer names a limit.
    rate: Option<RequestRate>,
    observed_at: Tick,
    /// Requests that this entry may send.
    allowance: TokenBucket,
    /// Number of reports that included the current rate.
    reported: u32,
}

impl NamedLimit {
    /// A limit that the server has not named yet.
    const fn unnamed(observed_at: Tick) -> Self {
        Self { rate: None, observed_at, allowance: TokenBucket::new(0.0, 0.0), reported: 0 }
    }

    const fn is_due(&self) -> bool {
        self.rate.is_some() || self.reported < MIN_REPORTS
    }
}

/// Signals of one backend server, from its responses and from other entries.
#[derive(Debug, Clone, Default)]
pub struct ServerSignals {
    limit: Option<NamedLimit>,
    /// Whether the server is draining, which does not end before it terminates.
    draining: bool,
    /// Number of reports that included that the server is draining.
    draining_reported: u32,
    /// Time until which the server accepts nothing from this entry.
    paused_until: Tick,
}

impl ServerSignals {
    /// Whether the server has never sent a signal.
    pub const fn is_empty(&self) -> bool {
        self.limit.is_none() && !self.draining && self.paused_until.0 == 0
    }

    /// Applies the signals of a response. Returns whether they differ from what was
    /// known.
    pub fn apply(&mut self, signals: ResponseSignals, source: ResponseSource, now: Tick) -> bool {
        let limit_changed = match (signals.limit, source) {
            (Signal::Present(rate), _) => self.set_limit(Some(rate), now),
            (Signal::Absent, ResponseSource::Caller) if self.limit.is_some() => {
                self.set_limit(None, now)
            }
            _ => false,
        };
        let starts_draining = self.record_draining(signals.draining.present().is_some());
        let paused = signals.retry_delay.present().is_some_and(|delay| self.pause(delay, now));
        limit_changed || starts_draining || paused
    }

    fn pause(&mut self, delay: Millis, now: Tick) -> bool {
        let until = now.after(delay.min(MAX_RETRY_DELAY));
        let longer = until > self.paused_until;
        self.paused_until = self.paused_until.max(until);
        longer
    }

    /// Time for which the server still accepts nothing from this entry; zero if it
    /// accepts requests.
    pub const fn pause_left(&self, now: Tick) -> Millis {
        self.paused_until.since(now)
    }

    /// Whether the server accepts nothing from this entry.
    pub const fn is_paused(&self, now: Tick) -> bool {
        self.pause_left(now).0 > 0
    }

    fn record_draining(&mut self, draining: bool) -> bool {
        let starts = draining && !self.draining;
        self.draining |= draining;
        starts
    }

    /// Whether the server has said that it is draining.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Merges the report of another entry: what was observed last counts. Returns
    /// whether it differs from what was known.
    pub fn merge(&mut self, report: &SignalReport, now: Tick) -> bool {
        let limit_changed = report.limit.is_some_and(|limit| self.merge_limit(limit, now));
        self.record_draining(report.draining) || limit_changed
    }

    fn merge_limit(&mut self, limit: LimitReport, now: Tick) -> bool {
        let observed_at = now.before(limit.age);
        let is_newer = self.limit.as_ref().is_none_or(|known| observed_at > known.observed_at);
        is_newer && self.set_limit(limit.rate, observed_at)
    }

    fn set_limit(&mut self, rate: Option<RequestRate>, observed_at: Tick) -> bool {
        let known = self.limit.get_or_insert_with(|| NamedLimit::unnamed(observed_at));
        known.observed_at = observed_at;
        let changed = known.rate != rate;
        if changed {
            known.rate = rate;
            known.reported = 0;
        }
        changed
    }

    /// The limit that the server names for all entries together.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.as_ref()?.rate
    }

    /// Sets this entry's share of the limit.
    pub fn set_share(&mut self, share: LimitShare, now: Tick) {
        if let Some(limit) = &mut self.limit {
            limit.allowance.set_rate(share.rate.per_second(), share.burst, now);
        }
    }

    /// Whether the limit allows this entry another request.
    pub fn may_send(&self, now: Tick) -> bool {
        let limited = self.limit.as_ref().filter(|limit| limit.rate.is_some());
        limited.is_none_or(|limit| limit.allowance.has_token(now))
    }

    /// Time until the server accepts a request of this entry by what it says; zero
    /// if it does now, `None` if that is not known.
    pub fn accepts_in(&self, now: Tick) -> Option<Millis> {
        let limited = self.limit.as_ref().filter(|limit| limit.rate.is_some());
        let token = limited.map_or(Some(Millis(0)), |limit| limit.allowance.time_to_token(now))?;
        Some(token.max(self.pause_left(now)))
    }

    /// Records that this entry sends a request to the server.
    pub fn record_send(&mut self, now: Tick) {
        if let Some(limit) = self.limit.as_mut().filter(|limit| limit.rate.is_some()) {
            limit.allowance.take(now);
        }
    }

    /// Number of reports that included these signals, or `None` if there is nothing
    /// to report.
    pub fn reported(&self) -> Option<u32> {
        let limit = self.limit.as_ref().filter(|limit| limit.is_due());
        let draining_due = self.draining && self.draining_reported < MIN_REPORTS;
        let draining = draining_due.then_some(self.draining_reported);
        limit.map(|limit| limit.reported).into_iter().chain(draining).min()
    }

    /// The signals for the next message to other entries.
    pub fn next_report(&mut self, server: BackendIncarnation, now: Tick) -> SignalReport {
        let limit = self.limit.as_mut().map(|limit| {
            limit.reported = limit.reported.saturating_add(1);
            LimitReport { rate: limit.rate, age: now.since(limit.observed_at) }
        });
        self.draining_reported += u32::from(self.draining);
        SignalReport { server, limit, draining: self.draining }
    }
}
