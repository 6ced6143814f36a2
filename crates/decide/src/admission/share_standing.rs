//! Whether a workspace uses more than its share of a pool.

use crate::ids::{Tick, WorkspaceId};

/// Tells whether a workspace is over its share of the capacity. Asked only while
/// capacity is scarce.
pub trait ShareStanding {
    /// Whether the workspace is over its share; `None` is a request without one.
    fn is_over_share(&self, workspace: Option<&WorkspaceId>, now: Tick) -> bool;
}

/// The standing of workspaces without shares: none is over its share.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoShares;

impl ShareStanding for NoShares {
    fn is_over_share(&self, _workspace: Option<&WorkspaceId>, _now: Tick) -> bool {
        false
    }
}
