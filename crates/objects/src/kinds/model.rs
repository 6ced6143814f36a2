//! Language models.

use serde::{Deserialize, Serialize};

use crate::{ModelName, PoolName};

/// A language model and the pools whose engines serve it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Model {
    /// Name that callers pass in the `model` field of a request.
    pub name: ModelName,
    /// Number of layers, at least 1.
    pub layers: u32,
    /// Pools that serve the model. A pool without a layer range serves all
    /// layers. If other pools have ranges, some of these must join without gap
    /// or overlap from the first layer to the last.
    pub pools: Vec<PoolName>,
}
