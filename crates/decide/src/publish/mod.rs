//! Publishes configuration changes by compare-and-set on the head row.

mod driver;
mod error;
mod ports;
mod restore;

pub use driver::{Publication, PublishLimits, Published, publish};
pub use error::PublishError;
pub use ports::{AppendReply, ConfigHead, ConfigStore};
pub use restore::{append_lost_changes, lost_changes};
