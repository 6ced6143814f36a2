//! A language model.

use serde::{Deserialize, Serialize};

use crate::{ModelName, PoolName};

/// A language model and the pools that hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Model {
    /// Name that callers give in the `model` field of a request.
    pub name: ModelName,
    /// Number of layers, at least 1.
    pub layers: u32,
    /// Pools that hold the model. A pool without a layer range holds all of
    /// it; the ranges of the others join up without gap or overlap.
    pub pools: Vec<PoolName>,
}
