//! Work ids together with the incarnation and epoch they are valid for.

use serde::{Deserialize, Serialize};

use crate::ids::{AgentRef, Epoch, IncarnationId, WorkId};

/// A work id and the agent incarnation and epoch that it was issued for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkTag {
    /// Id of the work.
    pub work: WorkId,
    /// The only agent incarnation that may execute the work.
    pub incarnation: IncarnationId,
    /// Epoch of the incarnation when the work id was issued.
    pub epoch: Epoch,
}

impl WorkTag {
    /// Issues a work id for an agent's current incarnation and epoch.
    pub const fn new(work: WorkId, agent: &AgentRef) -> Self {
        Self { work, incarnation: agent.incarnation, epoch: agent.epoch }
    }
}
