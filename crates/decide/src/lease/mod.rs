//! A lease on a row of a store, judged by how long the row stays unchanged.

mod audience;
mod watch;

pub use audience::Audience;
pub use watch::{LeaseLimits, LeaseRow, LeaseStep, LeaseWatch};
