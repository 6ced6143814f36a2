//! Reading the progress of work.

use clementine_decide::ids::WorkId;
use serde::{Deserialize, Serialize};

use super::Progress;

/// A request for the progress of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Identifier of the work.
    pub work: WorkId,
    /// Number of chunks that the reader already has.
    pub offset: u32,
}

/// Response to a [`ReadRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadResponse {
    /// Progress from the offset on; empty if the wait timed out.
    Progress(Progress),
    /// The agent does not have the work, or has dropped chunks from that offset.
    NotHeld,
}
