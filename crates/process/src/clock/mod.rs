//! Clocks: monotonic ticks for the decision logic and wall-clock timestamps.

mod pause;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clementine_decide::ids::Tick;
use nix::time::{ClockId, clock_gettime};

pub use pause::PauseWatch;

/// A monotonic clock that counts milliseconds since it was started, by
/// `CLOCK_BOOTTIME`.
///
/// Unlike `Instant`, which reads `CLOCK_MONOTONIC` on Linux, it counts the time for
/// which the machine was suspended. Leases and other authorizations expire by these
/// ticks, and they expire for the other processes during a suspension.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time of `CLOCK_BOOTTIME` at tick 0.
    start: Duration,
}

impl Clock {
    /// Starts a clock at tick 0.
    pub fn start() -> Self {
        Self { start: time_since_boot() }
    }

    /// Returns the current tick.
    pub fn now(&self) -> Tick {
        let elapsed = time_since_boot().saturating_sub(self.start);
        Tick(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Time since the machine was booted, including suspensions.
fn time_since_boot() -> Duration {
    // The call fails only for clocks that the system does not have.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map_or_else(|error| panic!("CLOCK_BOOTTIME: {error}"), Duration::from)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for
/// timestamps that people read or that outlast the process.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a clock that stands still while the machine is suspended, by
    /// which an expired lease would still be valid. A suspension cannot be made here;
    /// the test compares with the clock that counts it.
    #[test]
    fn ticks_follow_the_clock_that_counts_suspended_time() {
        let boot = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).expect("boot time"));
        let clock = Clock { start: Duration::ZERO };
        let ticks = Duration::from_millis(clock.now().0);
        assert!(ticks + Duration::from_millis(1) >= boot, "{ticks:?} and {boot:?}");
        assert!(ticks < boot + Duration::from_secs(5), "{ticks:?} and {boot:?}");
    }
}
