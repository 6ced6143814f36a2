//! Rates of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// Requests per second.
///
/// Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// Error returned for a number that is no rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a rate must be a finite number that is not negative"))]
pub struct InvalidRateError;

impl RequestRate {
    /// Creates a rate.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, InvalidRateError> {
        (per_second.is_finite() && per_second >= 0.0)
            .then_some(Self(per_second))
            .context(InvalidRateSnafu)
    }

    /// The rate as a number.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRateError;

    fn try_from(per_second: f64) -> Result<Self, InvalidRateError> {
        Self::new(per_second)
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRateError;

    /// Parses a decimal number.
    fn from_str(text: &str) -> Result<Self, InvalidRateError> {
        Self::new(text.parse().ok().context(InvalidRateSnafu)?)
    }
}
