//! Durations in whole milliseconds.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;

/// A duration in whole milliseconds, written like `250ms`, `30s`, `5m` or `2h`.
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
pub struct Millis(pub u64);

/// Error for a string that is not a duration.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a duration; expected a format like `250ms`, `30s` or `5m`"))]
pub struct MillisError {
    text: CompactString,
}

const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

impl Millis {
    /// Converts to [`std::time::Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n > 0 && n % 60_000 == 0 => write!(f, "{}m", n / 60_000),
            n if n > 0 && n % 1_000 == 0 => write!(f, "{}s", n / 1_000),
            n => write!(f, "{n}ms"),
        }
    }
}

impl FromStr for Millis {
    type Err = MillisError;

    fn from_str(text: &str) -> Result<Self, MillisError> {
        let error = || MillisError { text: text.into() };
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (digits, unit) = text.split_at(split);
        let (_, factor) = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(error)?;
        let count: u64 = digits.parse().map_err(|_| error())?;
        count.checked_mul(*factor).map(Self).ok_or_else(error)
    }
}
