//! Workspace settings that apply to requests.

use crate::ids::WorkspaceId;

/// Workspace settings that apply to requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Priority from 0 (highest), which overrides that of the route.
    pub priority: Option<u8>,
}
