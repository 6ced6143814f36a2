//! A circuit breaker that allows one probe at a time when half-open.

use clementine_objects::Millis;
use rand::{Rng, RngExt};

use crate::ids::Tick;

/// Settings of a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitLimits {
    /// Consecutive failures that open the circuit.
    pub failure_threshold: u32,
    /// Delay before the first probe, doubled after each failed probe.
    pub initial_backoff: Millis,
    /// Maximum delay between probes.
    pub max_backoff: Millis,
}

impl Default for CircuitLimits {
    fn default() -> Self {
        Self { failure_threshold: 3, initial_backoff: Millis(250), max_backoff: Millis(4_000) }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { until: Tick, backoff: Millis },
    HalfOpen { backoff: Millis },
}

/// A circuit breaker: closed, open, or half-open with one probe in flight.
///
/// Each delay is drawn at random between half and all of the backoff, so that
/// processes do not probe simultaneously when the service recovers.
#[derive(Debug)]
pub struct CircuitBreaker {
    limits: CircuitLimits,
    state: State,
}

impl CircuitBreaker {
    /// Creates a closed circuit.
    pub const fn new(limits: CircuitLimits) -> Self {
        Self { limits, state: State::Closed { failures: 0 } }
    }

    /// Whether all calls are allowed.
    pub const fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Whether a call may be made now. The first call after the backoff is the
    /// probe.
    pub fn try_call(&mut self, now: Tick) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, backoff } if now >= until => {
                self.state = State::HalfOpen { backoff };
                true
            }
            State::Open { .. } | State::HalfOpen { .. } => false,
        }
    }

    /// Records a successful call, which closes the circuit.
    pub const fn record_success(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Tick, rng: &mut impl Rng) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.limits.failure_threshold => {
                State::Closed { failures: failures + 1 }
            }
            State::Closed { .. } => open(now, self.limits.initial_backoff, rng),
            State::HalfOpen { backoff } => {
                let doubled = Millis(backoff.0.saturating_mul(2));
                open(now, doubled.min(self.limits.max_backoff), rng)
            }
            open @ State::Open { .. } => open,
        };
    }
}

fn open(now: Tick, backoff: Millis, rng: &mut impl Rng) -> State {
    let delay = rng.random_range(backoff.0 / 2..=backoff.0);
    State::Open { until: now.after(Millis(delay)), backoff }
}
