//! Work that waits at an engine or a link.

use crate::ids::Tick;

/// Work that was sent to a resource and is not done yet, in ms of the resource's
/// time. The resource does one ms of it per ms.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    ms: f64,
    updated_at: Tick,
}

impl Backlog {
    /// Work that is left, in ms.
    pub fn at(&self, now: Tick) -> f64 {
        (self.ms - now.since(self.updated_at).0 as f64).max(0.0)
    }

    /// Adds work that is sent now, in ms.
    pub fn add(&mut self, ms: f64, now: Tick) {
        self.ms = self.at(now) + ms;
        self.updated_at = now;
    }
}
