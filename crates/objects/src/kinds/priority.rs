//! Request priorities.

use serde::{Deserialize, Serialize};

use crate::PriorityName;

/// A named request priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Priority {
    /// Name that callers send in the `clementine-priority` header.
    pub name: PriorityName,
    /// Level from 0 (highest priority) to 9 (lowest).
    pub level: u8,
}

impl Priority {
    /// Largest accepted level, the lowest priority.
    pub const MAX_LEVEL: u8 = 9;
}
