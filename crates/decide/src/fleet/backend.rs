//! A backend server as the platform lists it.

use std::net::SocketAddr;

use clementine_objects::LayerRange;

use crate::ids::{BackendId, CardId, DomainId, PoolId};

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Identity of this start of the server.
    pub id: BackendId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Failure domain of its instance.
    pub domain: DomainId,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Start of the server in ms since 1970, where it tells.
    pub started_ms: Option<u64>,
    /// Type of its accelerator, for engines.
    pub card: Option<CardId>,
    /// Layers that it holds and serves.
    pub layers: Option<LayerRange>,
    /// Orders that it has begun since its start.
    pub orders: u64,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// It takes new work.
    Ready,
    /// It finishes what it has.
    Leaving,
}
