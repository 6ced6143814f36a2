//! Types of the declared objects, one module for each kind.

mod layer_range;
mod model;
mod object;
mod pool;
mod priority;
mod route;
mod token_digest;
mod workspace;

pub use layer_range::LayerRange;
pub use model::Model;
pub use object::{Object, ObjectKind, ObjectRef};
pub use pool::{FencingSupport, Pool, PoolKind};
pub use priority::Priority;
pub use route::{Repeat, Route};
pub use token_digest::TokenDigest;
pub use workspace::{Workspace, WorkspaceLimits};
