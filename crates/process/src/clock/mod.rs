//! The runtime's clock as the decision logic reads it.

use std::time::{SystemTime, UNIX_EPOCH};

use clementine_decide::ids::Tick;
use tokio::time::Instant;

/// The runtime's clock, counted from the process's start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The present.
    pub fn now(&self) -> Tick {
        Tick(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Wall-clock time in ms since 1970, for records that people read.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
