//! Declarative configuration objects of clementinehub and their validation.
//!
//! Operators declare pools, routes, models, workspaces and priorities. A
//! [`Catalog`] contains all objects at one [`Revision`]. A [`Change`] turns one
//! catalog into the next, and [`validate_catalog`] reports every error in the
//! result before it is published. [`check_catalog`] reports what may be published but
//! has no effect.

pub mod catalog;
pub mod check;
pub mod ids;
pub mod kinds;
pub mod validate;

pub use catalog::{
    Catalog, CatalogDigest, Change, ChangeConflict, ChangeRecord, Snapshot, SnapshotError,
};
pub use check::{DeclaredRoute, DeclaredRouting, Finding, check_catalog, check_routing};
pub use ids::{
    ChangeId, Millis, ModelName, NameError, PoolName, PriorityName, Revision, RouteName,
    WorkspaceName,
};
pub use kinds::{
    FencingSupport, LayerRange, Model, Object, ObjectKind, ObjectRef, Pool, PoolKind, Priority,
    Repeat, Route, TokenDigest, Workspace, WorkspaceLimits,
};
pub use validate::{ValidationError, validate_catalog};
