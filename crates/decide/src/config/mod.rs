//! The local copy of the configuration and its replication between processes.

mod local;
mod update;

pub use local::LocalConfig;
pub use update::ConfigUpdate;
