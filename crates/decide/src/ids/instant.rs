//! Points in time as the decision logic sees them.

use clementine_objects::Millis;

/// Milliseconds since the driver's start, by its monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Tick(pub u64);

impl Tick {
    /// The point a duration later.
    #[must_use]
    pub const fn after(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// Time from an earlier point to this one; zero when it is not earlier.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}
