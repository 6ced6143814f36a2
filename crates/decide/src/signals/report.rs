//! Signals of backend servers, as entries tell them to each other.

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use super::RequestRate;
use crate::fleet::BackendIncarnation;

/// What an entry knows of the signals of one server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SignalReport {
    /// The server.
    pub server: BackendIncarnation,
    /// Its limit, if it has ever named one.
    pub limit: Option<LimitReport>,
    /// Whether it is draining.
    pub draining: bool,
}

/// The last limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The limit; `None` if the server no longer names one.
    pub rate: Option<RequestRate>,
    /// Time since an entry read it from a response.
    pub age: Millis,
}
