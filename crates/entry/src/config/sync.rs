//! Keeps the local configuration up to date from the store and from agents.

use std::rc::Rc;

use bytes::Bytes;
use clementine_decide::config::ConfigUpdate;
use clementine_decide::publish::{ConfigHead, ConfigStore, append_lost_changes, lost_changes};
use clementine_objects::{Millis, Revision, Snapshot, SnapshotError};
use clementine_stores::ObjectStore;
use snafu::{ResultExt, Snafu};
use spdlog::{debug, info, warn};
use tokio::time::sleep;

use crate::entry::Entry;
use crate::fleet::{Member, with_jitter};

/// Name of the object with the latest stored snapshot.
pub(super) const SNAPSHOT_OBJECT: &str = "config-snapshot";

/// Interval between reads until the first configuration is loaded.
const INITIAL_POLL_INTERVAL: Millis = Millis(250);

/// Error from reading the configuration.
#[derive(Debug, Snafu)]
enum ConfigReadError {
    #[snafu(display("{source}"))]
    Store { source: clementine_decide::operation::StoreCallError },
    #[snafu(display("{source}"))]
    History { source: SnapshotError },
}

impl Entry {
    /// Polls the head row of the configuration indefinitely.
    pub(crate) async fn poll_config(self: Rc<Self>) {
        loop {
            if let Err(error) = self.read_config().await {
                debug!("config: failed to read from the store: {}", error);
            }
            let has_config = self.config.borrow().snapshot().is_some();
            let interval =
                if has_config { self.settings.config_poll_interval } else { INITIAL_POLL_INTERVAL };
            sleep(with_jitter(interval).duration()).await;
        }
    }

    /// Synchronizes the configuration with an agent: sends local changes to an older
    /// one, or fetches changes from a newer one. `remote` is the agent's revision.
    pub(crate) async fn sync_config(&self, member: &Member, remote: Revision) {
        let local = self.config.borrow().revision();
        if remote > local {
            let call = member.link.call(Millis(1_000), |client, cx| async move {
                client.config_since(cx, local).await
            });
            if let Ok(update) = call.await {
                self.apply_update(&update);
            }
        } else if local > remote {
            let update = self.config.borrow().update_since(remote);
            let call = member.link.call(Millis(1_000), |client, cx| async move {
                client.configure(cx, update).await
            });
            let Ok(acknowledged) = call.await else { return };
            member.record_revision(acknowledged);
            // The agent could not apply the changes; send the full snapshot.
            if acknowledged < local {
                self.send_snapshot(member).await;
            }
        }
    }

    /// Logs the new revision and wakes the tasks that pass it on to agents.
    pub(super) fn notify_config_changed(&self) {
        info!("config: revision {} is in force", self.config.borrow().revision());
        self.config_changed.notify_waiters();
    }

    /// Returns the current snapshot; empty before the first one is loaded.
    pub(crate) fn snapshot(&self) -> Rc<Snapshot> {
        self.config.borrow().snapshot().unwrap_or_default()
    }

    fn apply_update(&self, update: &ConfigUpdate) {
        let applied = self.config.borrow_mut().apply_update(update);
        match applied {
            Ok(true) => self.notify_config_changed(),
            Ok(false) => {}
            Err(error) => warn!("config: failed to apply an update from an agent: {}", error),
        }
    }

    async fn send_snapshot(&self, member: &Member) {
        let encoded: Bytes = self.snapshot().encode().into();
        let call = member.link.call(Millis(1_000), |client, cx| async move {
            client.configure(cx, ConfigUpdate::Snapshot(encoded)).await
        });
        if let Ok(acknowledged) = call.await {
            member.record_revision(acknowledged);
        } else {
            debug!("config: failed to send the snapshot to {}", member.address());
        }
    }

    /// Puts the changes back that the table service lacks, given its head row.
    async fn restore_changes(&self, head: Option<ConfigHead>) {
        let lost = lost_changes(&self.config.borrow(), head);
        if lost.is_empty() {
            return;
        }
        match append_lost_changes(&self.config_table, &lost).await {
            Ok(written) => {
                warn!("config: {} of {} lost changes put back", written, lost.len());
            }
            Err(error) => warn!("config: lost changes cannot be put back: {}", error),
        }
    }

    /// Puts the changes back that the table service lacks. A failure to read the head
    /// row is found again, and reported, by the publication that follows.
    pub(super) async fn restore_lost_changes(&self) {
        match self.config_table.head().await {
            Ok(head) => self.restore_changes(head).await,
            Err(error) => debug!("config: failed to read the head row: {}", error),
        }
    }

    async fn read_config(&self) -> Result<(), ConfigReadError> {
        if self.config.borrow().snapshot().is_none() {
            // If the object store is unavailable, the full history is read below.
            if let Ok(Some(bytes)) = self.objects.get(SNAPSHOT_OBJECT).await {
                let snapshot = Snapshot::decode(&bytes).context(HistorySnafu)?;
                if self.config.borrow_mut().apply_snapshot(snapshot) {
                    self.notify_config_changed();
                }
            }
        }
        let head = self.config_table.head().await.context(StoreSnafu)?;
        self.restore_changes(head).await;
        let newest = head.map_or(Revision::default(), |head| head.revision);
        let current = self.config.borrow().revision();
        if newest == Revision::default() {
            self.config.borrow_mut().apply_snapshot(Snapshot::default());
            return Ok(());
        }
        if newest > current {
            let changes = self.config_table.changes(current, newest).await.context(StoreSnafu)?;
            let applied = self.config.borrow_mut().apply_changes(changes).context(HistorySnafu)?;
            if applied {
                self.notify_config_changed();
            }
        }
        Ok(())
    }
}
