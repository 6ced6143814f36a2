//! Synchronization state of this process's copy of a store table.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

/// Synchronization state of this process's copy of a store table.
///
/// Invariant: every change up to version `position` has been received.
#[derive(Debug, Default)]
pub(crate) struct TableSync {
    position: Cell<u64>,
    /// Version of the newest change that was received.
    newest: Cell<u64>,
    /// Version of the newest change that any other entry has received.
    peer_newest: Cell<u64>,
    repoll_requested: Cell<bool>,
    wakeup: Notify,
}

/// Grace period for the poll in progress to return a change that another entry
/// has already received. Covers delivery over the slowest link.
const DELIVERY_GRACE: Duration = Duration::from_millis(900);

impl TableSync {
    /// Records that all changes up to the version `position` have been received,
    /// and the version of the newest change among them.
    pub(crate) fn advance(&self, position: u64, newest: Option<u64>) {
        self.position.set(self.position.get().max(position));
        self.newest.set(self.newest.get().max(newest.unwrap_or(0)));
    }

    /// Version of the newest change that this process has received.
    pub(crate) fn newest_version(&self) -> u64 {
        self.newest.get()
    }

    /// Version of the newest change that any entry has received.
    pub(crate) fn newest_version_anywhere(&self) -> u64 {
        self.newest.get().max(self.peer_newest.get())
    }

    /// Records the version of the newest change that another entry has received.
    pub(crate) fn record_peer_version(&self, newest: u64) {
        self.peer_newest.set(self.peer_newest.get().max(newest));
        if self.is_behind() {
            self.wakeup.notify_one();
        }
    }

    /// Requests that the poll in progress is abandoned and sent again.
    pub(crate) fn request_repoll(&self) {
        self.repoll_requested.set(true);
        self.wakeup.notify_one();
    }

    /// Waits until the poll in progress has to be sent again: on request, or
    /// because it has not returned a change that another entry has received. A
    /// response that may still be in transit gets the grace period to arrive.
    pub(crate) async fn repoll_needed(&self) {
        loop {
            self.wakeup.notified().await;
            if self.repoll_requested.take() {
                return;
            }
            sleep(DELIVERY_GRACE).await;
            if self.is_behind() {
                return;
            }
        }
    }

    fn is_behind(&self) -> bool {
        self.peer_newest.get() > self.position.get()
    }
}
