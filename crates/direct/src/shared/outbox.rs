//! Changes of store tables that wait to be passed on to the neighbors.

use std::cell::RefCell;
use std::collections::VecDeque;

use clementine_decide::peers::TableChanges;
use tokio::sync::Notify;

/// Maximum number of waiting batches. More are dropped; the neighbors then read
/// the changes from the store.
const MAX_WAITING: usize = 64;

/// Changes of store tables that wait to be passed on to the neighbors.
#[derive(Debug, Default)]
pub(crate) struct ChangeOutbox {
    waiting: RefCell<VecDeque<TableChanges>>,
    wakeup: Notify,
}

impl ChangeOutbox {
    /// Adds changes.
    pub(crate) fn push(&self, changes: TableChanges) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() < MAX_WAITING {
            waiting.push_back(changes);
            self.wakeup.notify_one();
        }
    }

    /// Waits for the next changes.
    pub(crate) async fn next(&self) -> TableChanges {
        loop {
            let next = self.waiting.borrow_mut().pop_front();
            match next {
                Some(changes) => return changes,
                None => self.wakeup.notified().await,
            }
        }
    }
}
