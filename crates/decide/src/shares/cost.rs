//! Cost of work.

use std::fmt;
use std::str::FromStr;

use snafu::{OptionExt, Snafu};

/// Cost of a request: its tokens x the layers of the model. In pools without layers,
/// each request costs 1.
///
/// Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct WorkCost(f64);

/// Error returned for a number that is no cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a cost must be a finite number that is not negative"))]
pub struct InvalidCostError;

impl WorkCost {
    /// Cost of a request to a pool of plain servers.
    pub const REQUEST: Self = Self(1.0);

    /// Cost of a run with this many tokens on a model with `layers` layers.
    ///
    /// # Errors
    ///
    /// Returns an error if the number of tokens is negative or not finite.
    pub fn of_run(tokens: f64, layers: u32) -> Result<Self, InvalidCostError> {
        let cost = tokens * f64::from(layers.max(1));
        (cost.is_finite() && cost >= 0.0).then_some(Self(cost)).context(InvalidCostSnafu)
    }

    /// The cost as a number.
    pub const fn units(self) -> f64 {
        self.0
    }
}

impl fmt::Display for WorkCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for WorkCost {
    type Err = InvalidCostError;

    fn from_str(text: &str) -> Result<Self, InvalidCostError> {
        Self::of_run(text.parse().ok().context(InvalidCostSnafu)?, 1)
    }
}
