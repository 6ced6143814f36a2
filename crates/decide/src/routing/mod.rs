//! Routes, pools and workspaces in the form in which requests look them up.

mod rule;
mod table;
mod workspace;

pub use rule::{RequestKind, RouteRule, WeightedPool};
pub use table::{CallerLimits, PoolSpec, RoutingError, RoutingTable, RoutingTableBuilder};
pub use workspace::WorkspaceRule;
