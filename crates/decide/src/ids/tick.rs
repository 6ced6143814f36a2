//! Monotonic time, passed in as an argument.

use clementine_objects::Millis;

/// Milliseconds on the monotonic clock of a process.
///
/// The clock shows [`Tick::START`] when the process starts, not 0: processes tell each
/// other how long ago something happened, and what happened before the start must keep
/// its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Tick(pub u64);

impl Tick {
    /// When the process started, decades after 0.
    pub const START: Self = Self(1 << 40);

    /// This time plus a duration, saturating at the maximum.
    #[must_use]
    pub const fn after(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// This time minus a duration, saturating at 0.
    #[must_use]
    pub const fn before(self, duration: Millis) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Time since the process started.
    pub const fn uptime(self) -> Millis {
        self.since(Self::START)
    }
}
