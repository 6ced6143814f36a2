//! What the instance list says.

use std::net::SocketAddr;

use clementine_decide::operation::StoreCallError;
use clementine_objects::PoolName;
use compact_str::CompactString;

/// State of an instance by the list, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// The instance is live.
    Live,
    /// The instance is leaving.
    Leaving,
}

/// An instance of a backend server with its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Pool of the backend server.
    pub pool: PoolName,
    /// Failure domain of the instance.
    pub domain: CompactString,
    /// State by the list.
    pub state: InstanceState,
}

/// The platform's list of instances. Each call tries once.
#[expect(async_fn_in_trait, reason = "processes are single-threaded")]
pub trait InstanceList {
    /// Reads the whole list.
    async fn list(&self) -> Result<Vec<ListedInstance>, StoreCallError>;
}
