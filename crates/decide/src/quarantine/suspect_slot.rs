//! Rows in which suspects are saved.

use std::fmt;

use super::Suspect;

/// Number of slots of requests, and of slots of parts of prompts.
const SLOTS: u128 = 64;

/// Row in which a suspect is saved, together with the others of the same slot. The number
/// of slots bounds the rows without anybody who cleans them up.
///
/// Parts have slots of their own: they must not be lost among the many requests that run
/// when servers crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectSlot {
    /// Slot of requests.
    Request(u8),
    /// Slot of parts of prompts.
    Part(u8),
}

impl fmt::Display for SuspectSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(number) => write!(f, "{number:02x}"),
            Self::Part(number) => write!(f, "part-{number:02x}"),
        }
    }
}

impl Suspect {
    /// The slot of this suspect.
    pub const fn slot(self) -> SuspectSlot {
        match self {
            Self::Request(request) => SuspectSlot::Request((request.0 % SLOTS) as u8),
            Self::Part(part) => SuspectSlot::Part((part.0 as u128 % SLOTS) as u8),
        }
    }
}
