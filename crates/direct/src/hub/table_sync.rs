//! How far this process has followed a table of the store.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

/// How far this process has followed a table of the store.
///
/// Invariant: every change up to `position` is known here.
#[derive(Debug, Default)]
pub(crate) struct TableSync {
    position: Cell<u64>,
    newest: Cell<u64>,
    /// Version of the newest change that some other entry knows.
    elsewhere: Cell<u64>,
    asked_again: Cell<bool>,
    news: Notify,
}

/// Time for an answer to arrive on the slowest link when others have it.
const ARRIVAL_TIME: Duration = Duration::from_millis(900);

impl TableSync {
    /// Notes that all changes up to a version of the store are known, and the
    /// version of the newest change among them.
    pub(crate) fn advance(&self, position: u64, newest: Option<u64>) {
        self.position.set(self.position.get().max(position));
        self.newest.set(self.newest.get().max(newest.unwrap_or(0)));
    }

    /// Version of the newest change that is known here.
    pub(crate) fn newest_version(&self) -> u64 {
        self.newest.get()
    }

    /// Version of the newest change that any entry knows.
    pub(crate) fn newest_version_anywhere(&self) -> u64 {
        self.newest.get().max(self.elsewhere.get())
    }

    /// Notes a change that another entry knows.
    pub(crate) fn record_peer_version(&self, newest: u64) {
        self.elsewhere.set(self.elsewhere.get().max(newest));
        if self.is_behind() {
            self.news.notify_one();
        }
    }

    /// Has the question under way asked again.
    pub(crate) fn request_repoll(&self) {
        self.asked_again.set(true);
        self.news.notify_one();
    }

    /// Waits until the question under way is to be asked again: at request, or
    /// because it has not brought in time what another entry knows. An answer
    /// that is just arriving is left the time to do so.
    pub(crate) async fn repoll_needed(&self) {
        loop {
            self.news.notified().await;
            if self.asked_again.take() {
                return;
            }
            sleep(ARRIVAL_TIME).await;
            if self.is_behind() {
                return;
            }
        }
    }

    fn is_behind(&self) -> bool {
        self.elsewhere.get() > self.position.get()
    }
}
