//! Identities drawn at random.

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
            /// Text in JSON, a number in compact formats.
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
    /// Identity of one request of a caller, returned to the caller.
    RequestId
);
random_id!(
    /// Identity of one attempt to run a request on one backend server.
    ///
    /// An agent runs a work id at most once. For a claimed operation it is
    /// the claim's token.
    WorkId
);
random_id!(
    /// Identity of one start of an agent process, drawn when it starts.
    IncarnationId
);
