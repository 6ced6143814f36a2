//! The simulated table service.

use clementine_decide::ids::WorkId;
use clementine_decide::operation::{ClaimRow, ClaimState, WriteReply};

/// A conditional write sent to the table.
#[derive(Debug, Clone)]
pub struct Write {
    pub row: ClaimRow,
    /// Token that the existing row must hold; `None` requires that no row exists.
    pub expected: Option<WorkId>,
}

/// The row of the key, and writes that are delayed.
#[derive(Debug, Default)]
pub struct TableSim {
    pub row: Option<ClaimRow>,
    pub delayed: Vec<Write>,
}

impl TableSim {
    /// Applies a write if its condition holds.
    pub fn apply(&mut self, write: &Write) -> WriteReply {
        let condition_holds = match (&self.row, write.expected) {
            (None, None) => true,
            (Some(row), Some(token)) => row.token == token && row.state == ClaimState::Held,
            _ => false,
        };
        if !condition_holds {
            return WriteReply::Conflict(self.row.clone());
        }
        self.row = Some(write.row.clone());
        WriteReply::Written
    }
}
