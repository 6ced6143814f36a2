//! Messages that wait to be sent to other entries at once.

use std::cell::RefCell;

use clementine_decide::peers::{UrgentMessage, UrgentMessages};
use tokio::sync::Notify;

/// Messages that wait to be sent, for one reader.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    messages: RefCell<UrgentMessages>,
    wakeup: Notify,
}

impl Outbox {
    /// Adds a message if there is room.
    pub(crate) fn push(&self, message: UrgentMessage) {
        if self.messages.borrow_mut().push(message) {
            self.wakeup.notify_one();
        }
    }

    /// Waits for the next message.
    pub(crate) async fn next(&self) -> UrgentMessage {
        loop {
            let next = self.messages.borrow_mut().pop();
            match next {
                Some(message) => return message,
                None => self.wakeup.notified().await,
            }
        }
    }
}
