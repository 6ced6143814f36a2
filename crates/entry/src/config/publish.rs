//! Publishes changes for operators.

use clementine_decide::publish::{Publication, PublishError, PublishLimits, Published, publish};
use clementine_objects::{Change, ChangeId, Revision};
use clementine_process::clock::unix_ms;
use clementine_stores::ObjectStore;
use compact_str::CompactString;
use serde::Deserialize;
use spdlog::{info, warn};

use super::sync::SNAPSHOT_OBJECT;
use crate::entry::Entry;

/// Changes between stored snapshots.
const SNAPSHOT_INTERVAL: u64 = 16;

/// A change as an operator sends it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PublishRequest {
    /// Identity of the change, drawn by the operator's program.
    pub(crate) id: ChangeId,
    /// Revision that the operator has seen.
    pub(crate) base: Revision,
    /// Who makes the change.
    pub(crate) author: CompactString,
    /// The change.
    pub(crate) change: Change,
}

impl Entry {
    /// Publishes a change and puts it in force here.
    pub(crate) async fn publish(&self, request: PublishRequest) -> Result<Published, PublishError> {
        let publication = Publication {
            id: request.id,
            base: request.base,
            author: request.author,
            change: request.change,
            published_unix_ms: unix_ms(),
        };
        let current = self.snapshot();
        let published =
            publish(&self.config_table, &current, &publication, PublishLimits::default()).await?;
        let revision = published.snapshot.revision;
        info!("config: revision {} accepted, change {}", revision, publication.id);
        let applied = self.config.borrow_mut().apply_changes(vec![published.record.clone()]);
        let applied = match applied {
            Ok(applied) => applied,
            // Others have published meanwhile: the record does not follow on.
            Err(_) => self.config.borrow_mut().apply_snapshot(published.snapshot.clone()),
        };
        if applied {
            self.notify_config_changed();
        }
        if revision.0 % SNAPSHOT_INTERVAL == 0 {
            self.store_snapshot(&published).await;
        }
        Ok(published)
    }

    /// Stores a snapshot, so that starting instances read few changes.
    async fn store_snapshot(&self, published: &Published) {
        let encoded = published.snapshot.encode().into();
        if let Err(error) = self.objects.put(SNAPSHOT_OBJECT, encoded).await {
            warn!("config: the snapshot could not be stored: {}", error);
        }
    }
}
