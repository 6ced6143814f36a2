//! Routing table: routes, pools and workspaces, indexed for lookup by request.

mod rule;
mod table;
mod workspace;

pub use rule::{RequestKind, RouteRule, WeightedPool};
pub use table::{CallerLimits, PoolSpec, RoutingError, RoutingTable, RoutingTableBuilder};
pub use workspace::WorkspaceRule;
