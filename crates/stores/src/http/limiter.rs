//! Rate limiter and circuit breaker for calls to one platform service.

use std::cell::RefCell;
use std::time::Duration;

use clementine_decide::circuit::{CircuitBreaker, CircuitLimits, TokenBucket};
use clementine_decide::ids::Tick;
use clementine_decide::operation::StoreCallError;
use clementine_objects::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// Limits of the calls to one platform service.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Maximum calls per second.
    pub calls_per_second: u32,
    /// Timeout of a single call.
    pub call_timeout: Millis,
}

/// Call counters of a [`CallLimiter`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub made: u64,
    /// Calls that failed or timed out.
    pub failed: u64,
    /// Calls rejected by the rate limiter.
    pub over_budget: u64,
    /// Calls rejected because the circuit breaker was open.
    pub circuit_open: u64,
}

/// Rate limiter, circuit breaker and timeout for calls to one platform service.
#[derive(Debug)]
pub struct CallLimiter {
    limits: CallLimits,
    start: Instant,
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    bucket: TokenBucket,
    circuit: CircuitBreaker,
    counts: CallCounts,
    rng: SmallRng,
}

impl CallLimiter {
    /// Creates a limiter with a full token bucket and a closed circuit breaker.
    pub fn new(limits: CallLimits) -> Self {
        let rate = f64::from(limits.calls_per_second);
        let state = State {
            bucket: TokenBucket::new(rate, rate),
            circuit: CircuitBreaker::new(CircuitLimits::default()),
            counts: CallCounts::default(),
            rng: SmallRng::from_rng(&mut rand::rng()),
        };
        Self { limits, start: Instant::now(), state: RefCell::new(state) }
    }

    /// Returns the timeout of a single call.
    pub const fn call_timeout(&self) -> Duration {
        self.limits.call_timeout.duration()
    }

    /// Returns the call counters.
    pub fn counts(&self) -> CallCounts {
        self.state.borrow().counts
    }

    /// Returns whether the circuit breaker is closed.
    pub fn is_circuit_closed(&self) -> bool {
        self.state.borrow().circuit.is_closed()
    }

    /// Makes a call if the rate limiter and the circuit breaker allow it.
    ///
    /// # Errors
    ///
    /// Returns `NotApplied` if the call is rejected, `Indeterminate` if it times out,
    /// and otherwise the error of the call itself.
    pub async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreCallError>>,
    ) -> Result<T, StoreCallError> {
        if !self.admit() {
            return Err(StoreCallError::NotApplied);
        }
        let completed = tokio::time::timeout(self.call_timeout(), call).await;
        let result = completed.unwrap_or(Err(StoreCallError::Indeterminate));
        self.record(result.is_ok());
        result
    }

    fn admit(&self) -> bool {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        if !state.circuit.try_call(now) {
            state.counts.circuit_open += 1;
            return false;
        }
        let has_token = state.bucket.try_take(now);
        if has_token {
            state.counts.made += 1;
        } else {
            state.counts.over_budget += 1;
        }
        has_token
    }

    fn record(&self, succeeded: bool) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        if succeeded {
            state.circuit.record_success();
        } else {
            state.counts.failed += 1;
            state.circuit.record_failure(now, &mut state.rng);
        }
    }

    fn now(&self) -> Tick {
        Tick(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
