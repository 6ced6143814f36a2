//! Backend servers as listed by the platform.

use std::net::SocketAddr;

use clementine_objects::LayerRange;

use crate::ids::{AcceleratorType, BackendId, DomainId, PoolId};

/// A backend server as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Id under which the platform lists the server. A restarted server can keep
    /// its id; see `started_ms`.
    pub id: BackendId,
    /// Pool that the server belongs to.
    pub pool: PoolId,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Failure domain of the server's instance.
    pub domain: DomainId,
    /// Whether the server accepts new requests.
    pub state: BackendState,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time of the server process in ms since the Unix epoch, if reported. A
    /// changed value means that the server has restarted.
    pub started_ms: Option<u64>,
    /// Accelerator type; engines only.
    pub accelerator: Option<AcceleratorType>,
    /// Model layers that the server has loaded; engines only.
    pub layers: Option<LayerRange>,
    /// Number of load orders that the server has started to carry out since it
    /// started.
    pub orders_started: u64,
}

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// Accepts new requests.
    Ready,
    /// Draining: finishes its requests and accepts no new ones.
    Leaving,
}
