//! Whether a request was executed.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Whether a request was executed, reported to the caller in the
/// `clementine-outcome` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub enum Outcome {
    /// A backend server executed the request.
    Ran,
    /// No backend server has executed the request, and none will.
    NotRun,
    /// The request may have been executed; it will not be executed again.
    Unknown,
}

/// The error of parsing an unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("invalid outcome: expected `ran`, `not-run` or `unknown`"))]
pub struct OutcomeError;

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, OutcomeError> {
        match text {
            "ran" => Ok(Self::Ran),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(OutcomeError),
        }
    }
}
