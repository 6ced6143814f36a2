//! The table service of the test world.

use clementine_decide::ids::WorkId;
use clementine_decide::operation::{ClaimRow, ClaimState, WriteReply};

/// A conditional write on its way to the table.
#[derive(Debug, Clone)]
pub struct Write {
    pub row: ClaimRow,
    /// Token that must be held; `None` when no row may exist.
    pub expected: Option<WorkId>,
}

/// One row of the table, and writes that arrive late.
#[derive(Debug, Default)]
pub struct TableSim {
    pub row: Option<ClaimRow>,
    pub late: Vec<Write>,
}

impl TableSim {
    /// Applies a write.
    pub fn apply(&mut self, write: &Write) -> WriteReply {
        let holds = match (&self.row, write.expected) {
            (None, None) => true,
            (Some(row), Some(token)) => row.token == token && row.state == ClaimState::Held,
            _ => false,
        };
        if !holds {
            return WriteReply::Conflict(self.row.clone());
        }
        self.row = Some(write.row.clone());
        WriteReply::Written
    }
}
