//! Standing of a workspace in the competition for capacity.

use std::fmt;

/// Standing of a workspace when capacity is scarce. Lower ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Has recently been served little of its share, or nothing.
    Unserved,
    /// Has been served no more than its share, or there is capacity for all.
    Within,
    /// Asks for more than its share, and has no part of the share left for this request.
    Over,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unserved => "unserved",
            Self::Within => "within",
            Self::Over => "over",
        })
    }
}
