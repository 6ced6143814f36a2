//! Publishes configuration changes by compare-and-set on the head row.

mod driver;
mod error;
mod ports;

pub use driver::{Publication, PublishLimits, Published, publish};
pub use error::PublishError;
pub use ports::{AppendReply, ConfigHead, ConfigStore};
