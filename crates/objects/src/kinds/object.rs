//! Objects of any kind and references to them.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;

use super::{Model, Pool, Priority, Route, Workspace};

/// A declared object of any kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Object {
    /// A pool of backend servers.
    Pool(Pool),
    /// A route to an HTTP service.
    Route(Route),
    /// A language model.
    Model(Model),
    /// A workspace of callers.
    Workspace(Workspace),
    /// A request priority.
    Priority(Priority),
}

/// Kind of a declared object.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum ObjectKind {
    /// See [`Pool`].
    Pool,
    /// See [`Route`].
    Route,
    /// See [`Model`].
    Model,
    /// See [`Workspace`].
    Workspace,
    /// See [`Priority`].
    Priority,
}

/// Error for a string that is not an object kind.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not an object kind; use pool, route, model, workspace or priority"))]
pub struct ObjectKindError {
    text: CompactString,
}

/// Reference to an object by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectRef {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: CompactString,
}

impl ObjectKind {
    /// All kinds, in display order.
    pub const ALL: [Self; 5] =
        [Self::Pool, Self::Route, Self::Model, Self::Workspace, Self::Priority];
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pool => "pool",
            Self::Route => "route",
            Self::Model => "model",
            Self::Workspace => "workspace",
            Self::Priority => "priority",
        })
    }
}

impl FromStr for ObjectKind {
    type Err = ObjectKindError;

    /// Accepts the singular and the plural form of a kind.
    fn from_str(text: &str) -> Result<Self, ObjectKindError> {
        let singular = text.strip_suffix('s').unwrap_or(text);
        let singular = if text == "priorities" { "priority" } else { singular };
        let found = Self::ALL.into_iter().find(|kind| kind.to_string() == singular);
        found.ok_or_else(|| ObjectKindError { text: text.into() })
    }
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.kind, self.name)
    }
}

impl Object {
    /// Kind of the object.
    pub const fn kind(&self) -> ObjectKind {
        match self {
            Self::Pool(_) => ObjectKind::Pool,
            Self::Route(_) => ObjectKind::Route,
            Self::Model(_) => ObjectKind::Model,
            Self::Workspace(_) => ObjectKind::Workspace,
            Self::Priority(_) => ObjectKind::Priority,
        }
    }

    /// Name of the object.
    pub fn name(&self) -> &str {
        match self {
            Self::Pool(pool) => pool.name.as_str(),
            Self::Route(route) => route.name.as_str(),
            Self::Model(model) => model.name.as_str(),
            Self::Workspace(workspace) => workspace.name.as_str(),
            Self::Priority(priority) => priority.name.as_str(),
        }
    }

    /// Reference to the object.
    pub fn reference(&self) -> ObjectRef {
        ObjectRef { kind: self.kind(), name: self.name().into() }
    }
}
