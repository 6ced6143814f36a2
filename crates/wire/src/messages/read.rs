//! Reading the progress of work.

use clementine_decide::ids::WorkId;
use serde::{Deserialize, Serialize};

use super::Progress;

/// A request for progress of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The work.
    pub work: WorkId,
    /// Chunks that the reader has.
    pub offset: u32,
}

/// Answer to a request for progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadResponse {
    /// Progress from the offset on; empty when there was none in time.
    Progress(Progress),
    /// The agent does not hold the work, or no longer from that offset on.
    NotHeld,
}
