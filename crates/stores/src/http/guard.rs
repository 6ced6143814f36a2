//! Guard of the calls to one platform service.

use std::cell::RefCell;
use std::time::Duration;

use clementine_decide::circuit::{CircuitBreaker, CircuitLimits, TokenBucket};
use clementine_decide::ids::Tick;
use clementine_decide::operation::StoreCallError;
use clementine_objects::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// Bounds of the calls to one platform service.
#[derive(Debug, Clone, Copy)]
pub struct GuardLimits {
    /// Calls in one second.
    pub calls_per_second: u32,
    /// Longest time of one call.
    pub call_time: Millis,
}

/// Calls counted by a guard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub made: u64,
    /// Calls that gave no answer.
    pub failed: u64,
    /// Calls not made for lack of budget.
    pub over_budget: u64,
    /// Calls not made because the circuit was open.
    pub circuit_open: u64,
}

/// Guard of the calls to one platform service.
#[derive(Debug)]
pub struct Guard {
    limits: GuardLimits,
    start: Instant,
    inner: RefCell<Inner>,
}

#[derive(Debug)]
struct Inner {
    budget: TokenBucket,
    circuit: CircuitBreaker,
    counts: CallCounts,
    rng: SmallRng,
}

impl Guard {
    /// A guard with a full budget and a closed circuit.
    pub fn new(limits: GuardLimits) -> Self {
        let rate = f64::from(limits.calls_per_second);
        let inner = Inner {
            budget: TokenBucket::new(rate, rate),
            circuit: CircuitBreaker::new(CircuitLimits::default()),
            counts: CallCounts::default(),
            rng: SmallRng::from_rng(&mut rand::rng()),
        };
        Self { limits, start: Instant::now(), inner: RefCell::new(inner) }
    }

    /// Longest time of one call.
    pub const fn call_time(&self) -> Duration {
        self.limits.call_time.duration()
    }

    /// Calls counted so far.
    pub fn counts(&self) -> CallCounts {
        self.inner.borrow().counts
    }

    /// Whether calls pass freely.
    pub fn is_closed(&self) -> bool {
        self.inner.borrow().circuit.is_closed()
    }

    /// Makes a call under the guard.
    ///
    /// # Errors
    ///
    /// `NoEffect` when the guard does not let the call through, `Unclear`
    /// when it takes too long, or the call's own fault.
    pub async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreCallError>>,
    ) -> Result<T, StoreCallError> {
        if !self.admit() {
            return Err(StoreCallError::NotApplied);
        }
        let timed = tokio::time::timeout(self.call_time(), call).await;
        let result = timed.unwrap_or(Err(StoreCallError::Indeterminate));
        self.note(result.is_ok());
        result
    }

    fn admit(&self) -> bool {
        let now = self.now();
        let inner = &mut *self.inner.borrow_mut();
        if !inner.circuit.try_call(now) {
            inner.counts.circuit_open += 1;
            return false;
        }
        let affordable = inner.budget.try_take(now);
        if affordable {
            inner.counts.made += 1;
        } else {
            inner.counts.over_budget += 1;
        }
        affordable
    }

    fn note(&self, answered: bool) {
        let now = self.now();
        let inner = &mut *self.inner.borrow_mut();
        if answered {
            inner.circuit.record_success();
        } else {
            inner.counts.failed += 1;
            inner.circuit.record_failure(now, &mut inner.rng);
        }
    }

    fn now(&self) -> Tick {
        Tick(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
