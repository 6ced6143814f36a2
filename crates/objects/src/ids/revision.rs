//! Revision number of the configuration.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Revision of a published configuration; each accepted change increments it.
///
/// Revision 0 is the empty configuration. A process never replaces its
/// configuration with one of a lower revision.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the next revision.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
