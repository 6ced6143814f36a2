//! Passive health check of a backend server: detects failures from the results
//! of requests.

use clementine_objects::Millis;

use crate::ids::Tick;

/// Settings of the passive health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PassiveHealthLimits {
    /// Consecutive failures after which a backend server is suspected.
    pub failure_threshold: u32,
    /// Duration of the first suspicion, doubled for each further one in a row.
    pub initial_suspicion: Millis,
    /// Maximum duration of a suspicion.
    pub max_suspicion: Millis,
}

impl Default for PassiveHealthLimits {
    fn default() -> Self {
        Self { failure_threshold: 1, initial_suspicion: Millis(500), max_suspicion: Millis(8_000) }
    }
}

/// Health of one backend server, derived from the results of requests to it.
#[derive(Debug, Clone, Copy)]
pub struct PassiveHealth {
    limits: PassiveHealthLimits,
    failures: u32,
    suspicions: u32,
    suspected_until: Tick,
}

impl PassiveHealth {
    /// Creates the state of a backend server without failures.
    pub const fn new(limits: PassiveHealthLimits) -> Self {
        Self { limits, failures: 0, suspicions: 0, suspected_until: Tick(0) }
    }

    /// Records a successful request, which ends a suspicion.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.suspicions = 0;
        self.suspected_until = Tick(0);
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Tick) {
        self.failures += 1;
        if self.failures < self.limits.failure_threshold || self.is_suspected(now) {
            return;
        }
        let factor = 1_u64.checked_shl(self.suspicions).unwrap_or(u64::MAX);
        let duration = self.limits.initial_suspicion.0.saturating_mul(factor);
        let duration = Millis(duration).min(self.limits.max_suspicion);
        self.suspected_until = now.after(duration);
        self.suspicions = (self.suspicions + 1).min(16);
    }

    /// Whether the backend server is suspected of being down.
    pub fn is_suspected(&self, now: Tick) -> bool {
        now < self.suspected_until
    }
}
