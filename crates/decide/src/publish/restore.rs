//! Puts changes back that the table service has lost.
//!
//! A table service that is restored from an older copy is behind the configuration
//! in force. No change could be published then, because each one follows the newest
//! revision.

use clementine_objects::{ChangeRecord, Revision};

use super::{AppendReply, ConfigHead, ConfigStore};
use crate::config::LocalConfig;
use crate::operation::StoreCallError;

/// The changes in force that the table service lacks, oldest first. Empty if it lacks
/// none, if they are not known any more, or if its newest change is not one of those
/// in force: its history then differs, and must not be continued by this one.
pub fn lost_changes(local: &LocalConfig, head: Option<ConfigHead>) -> Vec<ChangeRecord> {
    let newest = head.map_or(Revision::default(), |head| head.revision);
    let same_history = head.is_none_or(|head| {
        local.change(head.revision).is_some_and(|record| record.id == head.change)
    });
    if !same_history {
        return Vec::new();
    }
    local.changes_since(newest)
}

/// Appends changes in order. Stops at one that another process has appended. Returns
/// the number of those that were written.
///
/// # Errors
///
/// Returns an error if the table service does not respond. The changes before that
/// remain appended.
pub async fn append_lost_changes(
    store: &impl ConfigStore,
    changes: &[ChangeRecord],
) -> Result<usize, StoreCallError> {
    for (written, record) in changes.iter().enumerate() {
        if store.append(record).await? == AppendReply::Conflict {
            return Ok(written);
        }
    }
    Ok(changes.len())
}
