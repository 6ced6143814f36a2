//! Pools of backend servers.

use serde::{Deserialize, Serialize};

use super::LayerRange;
use crate::PoolName;

/// A pool of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    /// Name of the pool; each agent is configured with the name of its pool.
    pub name: PoolName,
    /// Type of the backend servers in the pool.
    pub serves: PoolKind,
    /// Model layers that each engine in the pool serves; all layers if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layers: Option<LayerRange>,
    /// Maximum number of concurrent requests per backend server, at least 1.
    pub concurrency: u32,
    /// Whether the engines check the fencing token of a request.
    #[serde(default)]
    pub fencing: FencingSupport,
}

/// Type of the backend servers in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model inference engines.
    Engine,
    /// Replicas of an HTTP service.
    Service,
}

/// Whether engines check the fencing token of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingSupport {
    /// The engine rejects a request with an outdated fencing token.
    Checked,
    /// The engine ignores the token, so the agent has to compare it.
    #[default]
    Ignored,
}
