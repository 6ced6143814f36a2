//! Answers to a request to attach.

use serde::{Deserialize, Serialize};

/// Answer to a request to attach to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachResponse {
    /// The work was accepted; read its answer by its work id.
    Accepted,
    /// The work has not run and never will.
    Sealed,
    /// The incarnation can't tell whether the work ran.
    Forgotten,
    /// The work was made for another incarnation.
    OtherIncarnation,
}
