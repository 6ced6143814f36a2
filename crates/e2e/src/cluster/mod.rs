//! A whole system on loopback.

mod backend;
mod harness;
mod spec;

pub use backend::Backend;
pub use harness::{API_TOKEN, Cluster, EntryProcess};
pub use spec::ClusterSpec;
