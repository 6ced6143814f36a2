//! Monotonic time, passed in as an argument.

use clementine_objects::Millis;

/// Milliseconds since the process started, on its monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Tick(pub u64);

impl Tick {
    /// This time plus a duration, saturating at the maximum.
    #[must_use]
    pub const fn after(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}
