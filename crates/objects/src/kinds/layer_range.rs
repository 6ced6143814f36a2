//! Ranges of model layers.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;

/// Inclusive range of model layers, numbered from 0 and written like `0-15`.
///
/// Invariant: `first <= last`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct LayerRange {
    first: u32,
    last: u32,
}

/// Error for a string that is not a layer range.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a layer range; expected a format like `0-15`"))]
pub struct LayerRangeError {
    text: CompactString,
}

impl LayerRange {
    /// Creates the range `first..=last`, or returns `None` if `first > last`.
    pub const fn new(first: u32, last: u32) -> Option<Self> {
        if first <= last { Some(Self { first, last }) } else { None }
    }

    /// Creates the range `from..end`, or returns `None` if it is empty.
    pub const fn half_open(from: u32, end: u32) -> Option<Self> {
        if from < end { Some(Self { first: from, last: end - 1 }) } else { None }
    }

    /// Exclusive end: the layer after the last one.
    pub const fn end(self) -> u32 {
        self.last + 1
    }

    /// Number of layers in the range.
    pub const fn count(self) -> u32 {
        self.last - self.first + 1
    }

    /// Whether the range contains a layer.
    pub const fn contains(self, layer: u32) -> bool {
        self.first <= layer && layer <= self.last
    }

    /// First layer of the range.
    pub const fn first(self) -> u32 {
        self.first
    }

    /// Last layer of the range, inclusive.
    pub const fn last(self) -> u32 {
        self.last
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

impl FromStr for LayerRange {
    type Err = LayerRangeError;

    fn from_str(text: &str) -> Result<Self, LayerRangeError> {
        let parse = || {
            let (first, last) = text.split_once('-')?;
            Self::new(first.trim().parse().ok()?, last.trim().parse().ok()?)
        };
        parse().ok_or_else(|| LayerRangeError { text: text.into() })
    }
}
