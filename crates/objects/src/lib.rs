//! Declared objects of clementinehub and the check of a change as a whole.
//!
//! Operators declare pools, routes, models, workspaces and priorities. A
//! [`Catalog`] holds all of them at one [`Revision`]; a [`Change`] turns one
//! catalog into the next, and [`check_catalog`] finds every fault of the
//! result before it is published.

pub mod catalog;
pub mod check;
pub mod ids;
pub mod kinds;

pub use catalog::{
    Catalog, CatalogDigest, Change, ChangeConflict, ChangeRecord, Snapshot, SnapshotError,
};
pub use check::{Fault, check_catalog};
pub use ids::{
    ChangeId, Millis, ModelName, NameError, PoolName, PriorityName, Revision, RouteName,
    WorkspaceName,
};
pub use kinds::{
    FencingSupport, LayerRange, Limits, Model, Object, ObjectKind, ObjectRef, Pool, PoolKind,
    Priority, Repeat, Route, TokenDigest, Workspace,
};
