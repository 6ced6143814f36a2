//! A complete system on loopback: platform, entries, agents and backend servers.

mod backend;
mod harness;
mod spec;

pub use backend::Backend;
pub use harness::{API_TOKEN, Cluster, EntryProcess};
pub use spec::ClusterSpec;
