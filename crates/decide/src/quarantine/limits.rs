//! Settings of the quarantine.

use clementine_objects::Millis;

/// Settings of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Number of crashes at which a request is refused, at least 1.
    pub crashes: u32,
    /// Time after its last crash for which a suspect is recorded.
    pub retention: Millis,
    /// Maximum number of recorded suspects.
    pub capacity: usize,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { crashes: 2, retention: Millis(600_000), capacity: 4_096 }
    }
}
