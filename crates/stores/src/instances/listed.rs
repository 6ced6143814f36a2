//! Entries of the instance list.

use std::net::SocketAddr;

use clementine_decide::operation::StoreCallError;
use clementine_objects::PoolName;
use compact_str::CompactString;

/// State of an instance according to the list, which may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// The instance is live.
    Live,
    /// The instance is terminating.
    Leaving,
}

/// A listed instance, which runs a backend server and its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Pool to which the backend server belongs.
    pub pool: PoolName,
    /// Failure domain of the instance.
    pub domain: CompactString,
    /// State according to the list.
    pub state: InstanceState,
}

/// The platform's list of instances. Calls are not retried.
#[expect(async_fn_in_trait, reason = "processes are single-threaded")]
pub trait InstanceList {
    /// Returns all instances.
    async fn list(&self) -> Result<Vec<ListedInstance>, StoreCallError>;
}
