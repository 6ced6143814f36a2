//! Names of declared objects.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;

/// Maximum length of an object name, in bytes.
pub(super) const NAME_MAX_BYTES: usize = 63;

/// Error for a string that is not a valid object name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "`{text}` is not a valid name; use 1 to {NAME_MAX_BYTES} lower-case letters, digits, `-`, `_` or `.`"
))]
pub struct NameError {
    text: CompactString,
}

fn parse_name(text: &str) -> Result<CompactString, NameError> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    let valid = !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.chars().all(allowed);
    if valid { Ok(text.into()) } else { Err(NameError { text: text.into() }) }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                parse_name(text).map(Self)
            }
        }
    };
}

name_type!(
    /// Name of a pool of backend servers.
    PoolName
);
name_type!(
    /// Name of a route to an HTTP service.
    RouteName
);
name_type!(
    /// Name of a language model.
    ModelName
);
name_type!(
    /// Name of a workspace.
    WorkspaceName
);
name_type!(
    /// Name of a priority.
    PriorityName
);
