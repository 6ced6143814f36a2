//! Clocks: monotonic ticks for the decision logic and wall-clock timestamps.

use std::time::{SystemTime, UNIX_EPOCH};

use clementine_decide::ids::Tick;
use tokio::time::Instant;

/// A monotonic clock that counts milliseconds since it was started, by the time
/// of the tokio runtime.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at tick 0.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the current tick.
    pub fn now(&self) -> Tick {
        Tick(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for
/// timestamps that people read or that outlast the process.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
