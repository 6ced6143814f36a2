//! Shares of workspaces in capacity that is scarce.
//!
//! Each entry counts the work that workspaces offer and the work that it admits.
//! Entries exchange these sums in their status messages and derive the same max-min
//! fair shares from them. No entry and no store holds a central count.

mod cost;
mod key;
mod ledger;
mod level;
mod standing;
mod status;
mod totals;

pub use cost::{InvalidCostError, WorkCost};
pub use key::{PoolHash, ShareKey, WorkspaceHash};
pub use ledger::{MAX_TRACKED_SHARES, ShareLedger, ShareSummary};
pub use level::fair_level;
pub use standing::Standing;
pub use status::{MAX_REPORTED_SHARES, PoolShares, ShareStatus, WorkspaceShare};
pub use totals::{PoolTotals, ShareTotals};
