//! Limits on the attempts at one request.

/// Limits on the attempts at one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Attempts in which the request may be executed, as the route rule allows.
    pub max_executed: u32,
    /// Maximum number of attempts beyond `max_executed`. One is granted for each attempt
    /// whose backend server went down.
    pub max_extra: u32,
    /// Maximum number of retries after attempts in which the request was not executed.
    pub max_unexecuted: u32,
    /// Whether a request that may have been executed may be sent again.
    pub is_repeatable: bool,
}

/// What an attempt counts as once it has ended, or if it ended now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request has left.
    NotSent,
    /// The backend server reported that it did not execute the request.
    NotExecuted,
    /// The request may have been executed.
    Executed,
    /// The request may have been executed, on a backend server that went down.
    LostToDownBackend,
}

impl AttemptEnd {
    /// Whether the request may have been executed.
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Executed | Self::LostToDownBackend)
    }
}

/// Numbers of attempts at one request that have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts in which the request may have been executed.
    pub executed: u32,
    /// Attempts in which the request was not executed.
    pub not_executed: u32,
    /// Attempts in which the request was not sent; at most `not_executed`.
    pub not_sent: u32,
    /// Attempts whose backend server went down; at most `executed`.
    pub lost_to_down_backend: u32,
}

impl AttemptCounts {
    /// The numbers after another attempt has ended.
    #[must_use]
    pub const fn with(mut self, end: AttemptEnd) -> Self {
        self.record(end);
        self
    }

    /// Records the end of an attempt.
    pub const fn record(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::NotSent => {
                self.not_executed += 1;
                self.not_sent += 1;
            }
            AttemptEnd::NotExecuted => self.not_executed += 1,
            AttemptEnd::Executed => self.executed += 1,
            AttemptEnd::LostToDownBackend => {
                self.executed += 1;
                self.lost_to_down_backend += 1;
            }
        }
    }

    /// Whether the request may have arrived at a backend server.
    pub const fn may_have_arrived(&self) -> bool {
        self.executed + self.not_executed > self.not_sent
    }

    /// Whether another attempt may start while none is in progress.
    pub fn allow_another(&self, limits: &AttemptLimits) -> bool {
        let max_executed = limits.max_executed + self.lost_to_down_backend.min(limits.max_extra);
        let may_repeat = self.executed == 0 || limits.is_repeatable;
        may_repeat && self.executed < max_executed && self.not_executed <= limits.max_unexecuted
    }

    /// Whether another attempt may replace the one in progress, which counts as `current`.
    pub fn allow_replacement(self, current: AttemptEnd, limits: &AttemptLimits) -> bool {
        self.with(current).allow_another(limits)
    }
}
