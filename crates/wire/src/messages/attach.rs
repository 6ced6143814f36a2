//! Attaching to work started by another call.

use serde::{Deserialize, Serialize};

/// Response to a request to attach to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachResponse {
    /// The work was accepted; its progress can be read by work id.
    Accepted,
    /// The work has not run and never will.
    Sealed,
    /// The agent no longer knows whether the work ran.
    Forgotten,
    /// The work was issued for another incarnation of the agent.
    OtherIncarnation,
}
