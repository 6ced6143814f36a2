//! Follows the configuration.

use std::rc::Rc;

use bytes::Bytes;
use clementine_decide::config::ConfigUpdate;
use clementine_decide::publish::ConfigStore;
use clementine_objects::{Millis, Revision, Snapshot, SnapshotError};
use clementine_stores::ObjectStore;
use snafu::{ResultExt, Snafu};
use spdlog::{debug, info, warn};
use tokio::time::sleep;

use crate::entry::Entry;
use crate::fleet::{Member, jittered};

/// Name of the object that holds the newest stored snapshot.
pub(super) const SNAPSHOT_OBJECT: &str = "config-snapshot";

/// Pause between attempts while no configuration is held.
const FIRST_PAUSE: Millis = Millis(250);

/// Why the configuration could not be read.
#[derive(Debug, Snafu)]
enum FollowError {
    #[snafu(display("{source}"))]
    Store { source: clementine_decide::operation::StoreCallError },
    #[snafu(display("{source}"))]
    History { source: SnapshotError },
}

impl Entry {
    /// Follows the head row for ever.
    pub(crate) async fn follow_config(self: Rc<Self>) {
        loop {
            if let Err(error) = self.read_config().await {
                debug!("config: the store can't be read: {}", error);
            }
            let held = self.config.borrow().snapshot().is_some();
            let pause = if held { self.settings.config_pause } else { FIRST_PAUSE };
            sleep(jittered(pause).duration()).await;
        }
    }

    /// Passes newer configuration to an agent, or learns it from there.
    pub(crate) async fn exchange_config(&self, member: &Member, theirs: Revision) {
        let ours = self.config.borrow().revision();
        if theirs > ours {
            let call = member.link.call(Millis(1_000), |client, cx| async move {
                client.config_since(cx, ours).await
            });
            if let Ok(update) = call.await {
                self.take_update(&update);
            }
        } else if ours > theirs {
            let update = self.config.borrow().update_since(theirs);
            let call = member.link.call(Millis(1_000), |client, cx| async move {
                client.configure(cx, update).await
            });
            let Ok(held) = call.await else { return };
            member.note_revision(held);
            // An agent that can't take the changes is sent the whole.
            if held < ours {
                self.push_snapshot(member).await;
            }
        }
    }

    /// Notes that the configuration held has changed.
    pub(super) fn note_config(&self) {
        info!("config: revision {} is in force", self.config.borrow().revision());
        self.config_changed.notify_waiters();
    }

    /// The snapshot held, or the empty one.
    pub(crate) fn snapshot(&self) -> Rc<Snapshot> {
        self.config.borrow().snapshot().unwrap_or_default()
    }

    fn take_update(&self, update: &ConfigUpdate) {
        let taken = self.config.borrow_mut().apply_update(update);
        match taken {
            Ok(true) => self.note_config(),
            Ok(false) => {}
            Err(error) => warn!("config: update refused: {}", error),
        }
    }

    async fn push_snapshot(&self, member: &Member) {
        let encoded: Bytes = self.snapshot().encode().into();
        let call = member.link.call(Millis(1_000), |client, cx| async move {
            client.configure(cx, ConfigUpdate::Snapshot(encoded)).await
        });
        if let Ok(held) = call.await {
            member.note_revision(held);
        } else {
            debug!("config: {} could not be sent the snapshot", member.address());
        }
    }

    async fn read_config(&self) -> Result<(), FollowError> {
        if self.config.borrow().snapshot().is_none() {
            // Without the object store, the history is read from its start.
            if let Ok(Some(bytes)) = self.objects.get(SNAPSHOT_OBJECT).await {
                let snapshot = Snapshot::decode(&bytes).context(HistorySnafu)?;
                if self.config.borrow_mut().apply_snapshot(snapshot) {
                    self.note_config();
                }
            }
        }
        let head = self.config_rows.head().await.context(StoreSnafu)?;
        let newest = head.map_or(Revision::default(), |head| head.revision);
        let held = self.config.borrow().revision();
        if newest == Revision::default() {
            self.config.borrow_mut().apply_snapshot(Snapshot::default());
            return Ok(());
        }
        if newest > held {
            let changes = self.config_rows.changes(held, newest).await.context(StoreSnafu)?;
            let taken = self.config.borrow_mut().apply_changes(changes).context(HistorySnafu)?;
            if taken {
                self.note_config();
            }
        }
        Ok(())
    }
}
