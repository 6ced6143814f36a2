//! A circuit breaker that lets one probe through.

use clementine_objects::Millis;
use rand::{Rng, RngExt};

use crate::ids::Tick;

/// Bounds of a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitLimits {
    /// Failures in a row that open the circuit.
    pub failure_threshold: u32,
    /// Pause before the first probe; doubled after each failed one.
    pub initial_backoff: Millis,
    /// Longest pause between probes.
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
    Open { until: Tick, pause: Millis },
    Probing { pause: Millis },
}

/// A circuit breaker: closed, open, or with one probe under way.
///
/// Each pause is drawn between half and all of its length, so that processes
/// do not probe together when the service returns.
#[derive(Debug)]
pub struct CircuitBreaker {
    limits: CircuitLimits,
    state: State,
}

impl CircuitBreaker {
    /// A closed circuit.
    pub const fn new(limits: CircuitLimits) -> Self {
        Self { limits, state: State::Closed { failures: 0 } }
    }

    /// Whether calls pass freely.
    pub const fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Asks to make a call; the first one after a pause becomes the probe.
    pub fn try_call(&mut self, now: Tick) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, pause } if now >= until => {
                self.state = State::Probing { pause };
                true
            }
            State::Open { .. } | State::Probing { .. } => false,
        }
    }

    /// Notes that a call was answered.
    pub const fn record_success(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Notes that a call failed.
    pub fn record_failure(&mut self, now: Tick, rng: &mut impl Rng) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.limits.failure_threshold => {
                State::Closed { failures: failures + 1 }
            }
            State::Closed { .. } => open(now, self.limits.initial_backoff, rng),
            State::Probing { pause } => {
                let doubled = Millis(pause.0.saturating_mul(2));
                open(now, doubled.min(self.limits.max_backoff), rng)
            }
            open @ State::Open { .. } => open,
        };
    }
}

fn open(now: Tick, pause: Millis, rng: &mut impl Rng) -> State {
    let drawn = rng.random_range(pause.0 / 2..=pause.0);
    State::Open { until: now.after(Millis(drawn)), pause }
}
