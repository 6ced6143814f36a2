//! Responses of the administration API.

use std::net::SocketAddr;

use clementine_objects::{ChangeConflict, ChangeId, Object, Revision, ValidationError};
use serde::Serialize;

/// All objects of a configuration revision.
#[derive(Debug, Serialize)]
pub(super) struct ObjectsResponse {
    pub(super) revision: Revision,
    pub(super) objects: Vec<Object>,
}

/// An accepted change.
#[derive(Debug, Serialize)]
pub(super) struct AcceptedResponse {
    pub(super) revision: Revision,
}

/// A rejected change.
#[derive(Debug, Serialize)]
pub(super) struct RejectedResponse {
    pub(super) code: &'static str,
    pub(super) message: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) faults: Vec<ValidationError>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) conflict: Option<ChangeConflict>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) change: Option<ChangeId>,
}

/// The configuration revision that an agent uses; `None` if it has not reported
/// one to this entry.
#[derive(Debug, Serialize)]
pub(super) struct AgentRevision {
    pub(super) address: SocketAddr,
    pub(super) revision: Option<Revision>,
}

/// The configuration revisions that this entry and its agents use.
#[derive(Debug, Serialize)]
pub(super) struct RevisionsResponse {
    pub(super) entry: Revision,
    pub(super) agents: Vec<AgentRevision>,
}
