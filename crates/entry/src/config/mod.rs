//! The configuration: read from the store, synchronized with agents, and
//! published to the store.

mod publish;
mod sync;
mod workspaces;

pub(crate) use publish::PublishRequest;
pub(crate) use workspaces::WorkspaceIndex;
