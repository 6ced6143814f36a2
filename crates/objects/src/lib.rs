//! Declared objects of clementinehub and the check of a change as a whole.
//!
//! Operators declare pools, routes, models, workspaces and priorities. A
//! [`Catalog`] holds all of them at one [`Revision`]; a [`Change`] turns one
//! catalog into the next, and [`validate_catalog`] finds every fault of the
//! result before it is published.

pub mod catalog;
pub mod ids;
pub mod kinds;
pub mod validate;

pub use catalog::{
    Catalog, CatalogDigest, Change, ChangeConflict, ChangeRecord, Snapshot, SnapshotError,
};
pub use ids::{
    ChangeId, Millis, ModelName, NameError, PoolName, PriorityName, Revision, RouteName,
    WorkspaceName,
};
pub use kinds::{
    FencingSupport, LayerRange, Model, Object, ObjectKind, ObjectRef, Pool, PoolKind, Priority,
    Repeat, Route, TokenDigest, Workspace, WorkspaceLimits,
};
pub use validate::{ValidationError, validate_catalog};
