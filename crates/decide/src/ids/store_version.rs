//! Versions of the store's content.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// Number of times that the store has been restored from an older copy.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Version of the store's content, written `ERA.NUMBER`.
///
/// When the store is restored from an older copy, its numbers go back and are
/// assigned again to other content. A version therefore includes the era, and any
/// version of a later era is newer than all versions of the earlier ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Era in which the number was assigned.
    pub era: StoreEra,
    /// Number of the transaction within the era.
    pub number: u64,
}

/// Text that is not a store version.
#[derive(Debug, Snafu)]
pub enum StoreVersionError {
    /// The era and the number are not separated by a dot.
    #[snafu(display("`{text}` is not a store version; expected a format like `1.250`"))]
    MissingDot {
        /// The text.
        text: String,
    },
    /// The era or the number is not an integer.
    #[snafu(display("invalid number in a store version: {source}"))]
    InvalidNumber {
        /// Underlying error.
        source: ParseIntError,
    },
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

impl FromStr for StoreVersion {
    type Err = StoreVersionError;

    fn from_str(text: &str) -> Result<Self, StoreVersionError> {
        let (era, number) = text.split_once('.').context(MissingDotSnafu { text })?;
        Ok(Self {
            era: era.parse().context(InvalidNumberSnafu)?,
            number: number.parse().context(InvalidNumberSnafu)?,
        })
    }
}
