//! What names a piece of work to a gate.

use serde::{Deserialize, Serialize};

use crate::ids::{AgentRef, Epoch, IncarnationId, WorkId};

/// A work id and the incarnation and epoch for which it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkTag {
    /// The work.
    pub work: WorkId,
    /// The only incarnation that may run it.
    pub incarnation: IncarnationId,
    /// Epoch of that incarnation when the work id was made.
    pub epoch: Epoch,
}

impl WorkTag {
    /// Names work for an agent.
    pub const fn new(work: WorkId, agent: &AgentRef) -> Self {
        Self { work, incarnation: agent.incarnation, epoch: agent.epoch }
    }
}
