//! Messages that wait to be sent to other entries at once.

use std::cell::RefCell;
use std::collections::VecDeque;

use clementine_decide::peers::{Sighting, TableChanges};
use tokio::sync::Notify;

/// Maximum number of waiting messages. More are dropped: what they tell is also
/// found out without them.
const MAX_WAITING: usize = 64;

/// A message that is sent at once instead of with the next status message.
#[derive(Debug)]
pub(crate) enum UrgentMessage {
    /// Changes of a store table, for the neighbors.
    Changes(TableChanges),
    /// Condition of a backend server, for all entries.
    Sighting(Sighting),
}

/// Messages that wait to be sent.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    waiting: RefCell<VecDeque<UrgentMessage>>,
    wakeup: Notify,
}

impl Outbox {
    /// Adds a message.
    pub(crate) fn push(&self, message: UrgentMessage) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() < MAX_WAITING {
            waiting.push_back(message);
            self.wakeup.notify_one();
        }
    }

    /// Waits for the next message.
    pub(crate) async fn next(&self) -> UrgentMessage {
        loop {
            let next = self.waiting.borrow_mut().pop_front();
            match next {
                Some(message) => return message,
                None => self.wakeup.notified().await,
            }
        }
    }
}
