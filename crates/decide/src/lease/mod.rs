//! A lease on a row of a store, judged by how long the row stays unchanged.

mod audience;
mod outage;
mod watch;

pub use audience::Audience;
pub use outage::Outage;
pub use watch::{LeaseLimits, LeaseRow, LeaseStep, LeaseWatch};
