//! The configuration that a process holds.

mod local;
mod update;

pub use local::LocalConfig;
pub use update::ConfigUpdate;
