//! How far this process has followed a table of the store.

use std::cell::Cell;

use tokio::sync::Notify;

/// How far this process has followed a table of the store.
///
/// Invariant: every change up to `position` is known here.
#[derive(Debug, Default)]
pub(crate) struct Followed {
    position: Cell<u64>,
    newest: Cell<u64>,
    behind: Notify,
}

impl Followed {
    /// Notes that all changes up to a version of the store are known, and the
    /// version of the newest change among them.
    pub(crate) fn advance(&self, position: u64, newest: Option<u64>) {
        self.position.set(self.position.get().max(position));
        self.newest.set(self.newest.get().max(newest.unwrap_or(0)));
    }

    /// Version of the newest change that is known here.
    pub(crate) fn newest(&self) -> u64 {
        self.newest.get()
    }

    /// Notes a change that another entry knows. If it is not known here, the
    /// question under way has gone silent, and is asked again.
    pub(crate) fn note_elsewhere(&self, newest: u64) {
        if newest > self.position.get() {
            self.behind.notify_one();
        }
    }

    /// Has the question under way asked again.
    pub(crate) fn ask_again(&self) {
        self.behind.notify_one();
    }

    /// Waits until the question under way is to be asked again.
    pub(crate) async fn asked_again(&self) {
        self.behind.notified().await;
    }
}
