//! Synchronization state of this process's copy of a store table.

use std::cell::Cell;
use std::time::Duration;

use clementine_decide::ids::StoreVersion;
use clementine_decide::peers::{FeedPosition, TableChanges};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::BoundedQueue;

/// Synchronization state of this process's copy of a store table.
///
/// Invariant: every change up to version `position` has been received, and there
/// are none between `unchanged_since` and `position`.
#[derive(Debug, Default)]
pub(crate) struct TableSync {
    position: Cell<StoreVersion>,
    /// Version of the last snapshot or of the newest change after it.
    unchanged_since: Cell<StoreVersion>,
    /// Version of the newest change that was received.
    newest: Cell<StoreVersion>,
    /// Version of the newest change that any other entry has received.
    peer_newest: Cell<StoreVersion>,
    /// Changes that another entry has passed on and that have not been applied.
    passed_on: BoundedQueue<TableChanges>,
    /// Whether the last call to the store for this table failed.
    unreachable: Cell<bool>,
    wakeup: Notify,
}

/// Grace period for the poll in progress, or for another entry, to deliver a
/// change that another entry has already received. Covers delivery over the
/// slowest link.
const DELIVERY_GRACE: Duration = Duration::from_millis(900);

impl TableSync {
    /// Records a snapshot and the version of the newest row in it.
    pub(crate) fn record_snapshot(&self, position: StoreVersion, newest: Option<StoreVersion>) {
        self.position.set(position);
        self.unchanged_since.set(position);
        self.record_newest(newest);
    }

    /// Records that all changes up to the version `position` have been received,
    /// and the version of the newest change among them.
    pub(crate) fn advance(&self, position: StoreVersion, newest: Option<StoreVersion>) {
        self.position.set(self.position.get().max(position));
        if let Some(newest) = newest {
            self.unchanged_since.set(self.unchanged_since.get().max(newest));
        }
        self.record_newest(newest);
    }

    fn record_newest(&self, newest: Option<StoreVersion>) {
        self.newest.set(self.newest.get().max(newest.unwrap_or_default()));
    }

    /// Records whether the store has responded, and returns the previous value.
    pub(crate) fn set_reachable(&self, reachable: bool) -> bool {
        !self.unreachable.replace(!reachable)
    }

    /// Whether the store responded to the last call for this table.
    pub(crate) fn is_reachable(&self) -> bool {
        !self.unreachable.get()
    }

    /// Whether a snapshot has been read and the store has responded since.
    pub(crate) fn is_followed(&self) -> bool {
        self.position.get() > StoreVersion::default() && self.is_reachable()
    }

    /// Version up to which all changes have been received.
    pub(crate) fn position(&self) -> StoreVersion {
        self.position.get()
    }

    /// The versions between which this process knows that nothing has changed.
    pub(crate) fn feed_position(&self) -> FeedPosition {
        FeedPosition { unchanged_since: self.unchanged_since.get(), position: self.position.get() }
    }

    /// Takes over the position of an entry that follows the table, if this process
    /// has received every change that the other one has.
    pub(crate) fn record_peer_position(&self, peer: FeedPosition) {
        let position = self.position.get();
        let has_all = position.era == peer.position.era && position >= peer.unchanged_since;
        if has_all && peer.position > position {
            self.position.set(peer.position);
        }
    }

    /// Version of the newest change that any entry has received.
    pub(crate) fn newest_version_anywhere(&self) -> StoreVersion {
        self.newest.get().max(self.peer_newest.get())
    }

    /// Records the version of the newest change that another entry has received.
    pub(crate) fn record_peer_version(&self, newest: StoreVersion) {
        self.peer_newest.set(self.peer_newest.get().max(newest));
        if self.is_behind() {
            self.wakeup.notify_one();
        }
    }

    /// Adds changes that another entry has passed on.
    pub(crate) fn push_changes(&self, changes: TableChanges) {
        self.passed_on.push(changes);
    }

    /// Waits for changes that another entry has passed on and that follow on what
    /// this process has received. Others are dropped.
    pub(crate) async fn next_changes(&self) -> TableChanges {
        loop {
            let changes = self.passed_on.next().await;
            if self.continues(&changes) {
                return changes;
            }
        }
    }

    fn continues(&self, changes: &TableChanges) -> bool {
        let position = self.position.get();
        position.era == changes.version.era
            && position >= changes.after
            && position < changes.version
    }

    /// Waits until the poll in progress has to be sent again, because it has not
    /// returned a change that another entry has received. A response that may still
    /// be in transit gets the grace period to arrive.
    pub(crate) async fn repoll_needed(&self) {
        loop {
            self.wakeup.notified().await;
            sleep(DELIVERY_GRACE).await;
            if self.is_behind() {
                return;
            }
        }
    }

    /// Whether another entry has received a change that this process has not.
    pub(crate) fn is_behind(&self) -> bool {
        self.peer_newest.get() > self.position.get()
    }
}
