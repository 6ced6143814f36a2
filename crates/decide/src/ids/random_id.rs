//! Random 128-bit identifiers.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{IfIsHumanReadable, serde_as};

use super::hex_number::HexNumber;

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[serde_as]
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(
            /// Hexadecimal string in human-readable formats, number in binary ones.
            #[serde_as(as = "IfIsHumanReadable<HexNumber>")]
            pub u128,
        );

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }
    };
}

random_id!(
    /// Identifies one request of a caller; returned to the caller.
    RequestId
);
random_id!(
    /// Identifies one attempt to execute a request on one backend server.
    ///
    /// An agent executes a work id at most once. The fencing token of a claim
    /// is a work id.
    WorkId
);
random_id!(
    /// Identifies one start of an agent process; generated at startup.
    IncarnationId
);
