//! The configuration: learnt from the store and from agents, published to
//! the store.

mod publish;
mod sync;
mod workspaces;

pub(crate) use publish::PublishRequest;
pub(crate) use workspaces::WorkspaceIndex;
