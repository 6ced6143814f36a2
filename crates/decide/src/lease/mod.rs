//! A lease on a row of a store, judged by how long the row stays unchanged.

mod outage;
mod quorum;
mod state;

pub use outage::StoreOutage;
pub use quorum::LeaseQuorum;
pub use state::{LeaseLimits, LeaseRow, LeaseState, LeaseStep};
