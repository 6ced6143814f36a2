//! A lease on a row of a store, judged by how long the row stays unchanged.

mod watch;

pub use watch::{LeaseLimits, LeaseRow, LeaseStep, LeaseWatch};
