//! Health of one backend server by the traffic to it.

use clementine_objects::Millis;

use crate::ids::Tick;

/// Bounds of a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthLimits {
    /// Failures in a row after which a backend server is suspected.
    pub failure_threshold: u32,
    /// Length of the first suspicion; each further one is twice as long.
    pub initial_suspicion: Millis,
    /// Longest suspicion.
    pub max_suspicion: Millis,
}

impl Default for HealthLimits {
    fn default() -> Self {
        Self { failure_threshold: 1, initial_suspicion: Millis(500), max_suspicion: Millis(8_000) }
    }
}

/// Health of one backend server.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    limits: HealthLimits,
    failures: u32,
    suspicions: u32,
    suspected_until: Tick,
}

impl Health {
    /// A backend server of which nothing bad is known.
    pub const fn new(limits: HealthLimits) -> Self {
        Self { limits, failures: 0, suspicions: 0, suspected_until: Tick(0) }
    }

    /// Notes a request that was answered.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.suspicions = 0;
        self.suspected_until = Tick(0);
    }

    /// Notes a request that failed.
    pub fn record_failure(&mut self, now: Tick) {
        self.failures += 1;
        if self.failures < self.limits.failure_threshold || self.is_suspected(now) {
            return;
        }
        let factor = 1_u64.checked_shl(self.suspicions).unwrap_or(u64::MAX);
        let length = self.limits.initial_suspicion.0.saturating_mul(factor);
        let length = Millis(length).min(self.limits.max_suspicion);
        self.suspected_until = now.after(length);
        self.suspicions = (self.suspicions + 1).min(16);
    }

    /// Whether recent failures speak against the backend server.
    pub fn is_suspected(&self, now: Tick) -> bool {
        now < self.suspected_until
    }
}
