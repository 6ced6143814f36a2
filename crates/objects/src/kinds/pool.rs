//! A pool of backend servers.

use serde::{Deserialize, Serialize};

use super::LayerRange;
use crate::PoolName;

/// Backend servers that can stand in for one another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    /// Name of the pool, by which agents declare their membership.
    pub name: PoolName,
    /// What the backend servers of the pool are.
    pub serves: PoolKind,
    /// Layers that each engine of the pool holds; all layers when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layers: Option<LayerRange>,
    /// Requests that one backend server runs at a time, at least 1.
    pub concurrency: u32,
    /// Whether the engines check the fencing number of an order.
    #[serde(default)]
    pub fencing: FencingSupport,
}

/// What the backend servers of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Replicas of a plain service.
    Service,
}

/// Whether engines check the fencing number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingSupport {
    /// An order with an old fencing number is refused by the engine.
    Checked,
    /// The engine ignores the number; the agent has to compare it.
    #[default]
    Ignored,
}
