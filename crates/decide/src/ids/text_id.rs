//! Opaque string identifiers assigned by the deployment.

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
            /// The identifier as a string slice.
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
    /// Identifies one start of a backend server.
    BackendId
);
text_id!(
    /// Name of a pool of backend servers.
    PoolId
);
text_id!(
    /// Name of a failure domain.
    DomainId
);
text_id!(
    /// Accelerator model.
    AcceleratorType
);
text_id!(
    /// Name of a workspace.
    WorkspaceId
);
text_id!(
    /// An entry process, identified by the name of its instance.
    EntryId
);
