//! A lease stored in a row of a store. It expires when the row has not changed
//! for the time to live.

mod fence;
mod outage;
mod quorum;
mod state;

pub use fence::FencingNumber;
pub use outage::StoreOutage;
pub use quorum::LeaseQuorum;
pub use state::{LeaseLimits, LeaseRow, LeaseState, LeaseStep};
