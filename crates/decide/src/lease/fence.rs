//! Fencing numbers of the holders of a lease.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::StoreVersion;

/// Bits of a fencing number that hold the transaction number. The sum of both
/// parts stays below 2^53, which JSON numbers represent exactly.
const TRANSACTION_BITS: u32 = 40;

/// Number that engines use to reject orders of earlier holders of a lease.
///
/// It is derived from the version of the write by which the holder acquired the
/// lease. It therefore increases with each holder, also if the store has lost the
/// lease row or has been restored from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl From<StoreVersion> for FencingNumber {
    fn from(version: StoreVersion) -> Self {
        Self((version.era.0 << TRANSACTION_BITS) | version.number)
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for FencingNumber {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
