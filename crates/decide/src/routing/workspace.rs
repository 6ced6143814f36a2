//! A workspace as requests look it up.

use crate::ids::WorkspaceId;

/// A workspace as requests look it up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Rank from 0 (first), which goes before the route's.
    pub priority: Option<u8>,
}
