//! Identifiers that are texts from outside and have no form of their own.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde_with::{DeserializeFromStr, SerializeDisplay};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(pub CompactString);

        impl $name {
            /// The identifier as text.
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
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self(text.into()))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

text_id!(
    /// One start of a backend server.
    BackendId
);
text_id!(
    /// A pool of backend servers as a deployment names it.
    PoolId
);
text_id!(
    /// A failure domain.
    DomainId
);
text_id!(
    /// A type of accelerator.
    AcceleratorType
);
text_id!(
    /// A workspace as a deployment names it.
    WorkspaceId
);
text_id!(
    /// An entry process, by the name of its instance.
    EntryId
);
