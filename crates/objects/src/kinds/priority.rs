//! A priority of requests.

use serde::{Deserialize, Serialize};

use crate::PriorityName;

/// A named priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Priority {
    /// Name that callers give in the `clementine-priority` header.
    pub name: PriorityName,
    /// Rank from 0 (first) to 9 (last).
    pub level: u8,
}

impl Priority {
    /// Largest accepted level.
    pub const MAX_LEVEL: u8 = 9;
}
