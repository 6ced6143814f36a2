//! Publishes one configuration change.

use clementine_objects::{Change, ChangeId, ChangeRecord, Revision, Snapshot, validate_catalog};
use compact_str::CompactString;

use super::{AppendReply, ConfigStore, PublishError};

/// Limits of one publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishLimits {
    /// Maximum number of read-head-and-append attempts.
    pub attempts: u32,
}

impl Default for PublishLimits {
    fn default() -> Self {
        Self { attempts: 8 }
    }
}

/// A request to publish a change.
#[derive(Debug, Clone)]
pub struct Publication {
    /// Id of the change, by which retries recognize it in the history.
    pub id: ChangeId,
    /// Revision on which the operator based the change.
    pub base: Revision,
    /// The operator who made the change.
    pub author: CompactString,
    /// The change.
    pub change: Change,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub published_unix_ms: u64,
}

/// An accepted change.
#[derive(Debug, Clone)]
pub struct Published {
    /// The configuration after the change.
    pub snapshot: Snapshot,
    /// The change as recorded in the history.
    pub record: ChangeRecord,
}

/// Publishes a change: validates it against the newest revision, appends it to
/// the history and moves the head to it.
///
/// Concurrent changes published since the base revision are merged if they
/// affect other objects and the merged catalog is valid.
///
/// # Errors
///
/// Returns an error if the change was not accepted, or if it is unknown whether
/// it was accepted ([`PublishError::Indeterminate`]).
pub async fn publish(
    store: &impl ConfigStore,
    local: &Snapshot,
    publication: &Publication,
    limits: PublishLimits,
) -> Result<Published, PublishError> {
    let mut current = local.clone();
    let mut write_unconfirmed = false;
    let mut last_error = PublishError::Unavailable;
    for _ in 0..limits.attempts {
        match attempt(store, &mut current, publication, write_unconfirmed).await {
            Ok(Attempt::Accepted(published)) => return Ok(*published),
            Ok(Attempt::HeadMoved) => {}
            Ok(Attempt::ResponseLost) => write_unconfirmed = true,
            Err(PublishError::Unavailable) => last_error = PublishError::Unavailable,
            Err(error) => return Err(error),
        }
    }
    Err(if write_unconfirmed {
        PublishError::Indeterminate { id: publication.id }
    } else {
        last_error
    })
}

/// Result of one attempt to append the change.
enum Attempt {
    Accepted(Box<Published>),
    /// A concurrent change was appended first.
    HeadMoved,
    /// The append may or may not have taken effect.
    ResponseLost,
}

async fn attempt(
    store: &impl ConfigStore,
    current: &mut Snapshot,
    publication: &Publication,
    write_unconfirmed: bool,
) -> Result<Attempt, PublishError> {
    let own = catch_up(store, current, publication.id).await?;
    if let Some(published) = own {
        return Ok(Attempt::Accepted(Box::new(published)));
    }
    let record = next_record(store, current, publication, write_unconfirmed).await?;
    match store.append(&record).await {
        Ok(AppendReply::Written) => {
            let snapshot = current.advance(&record)?;
            Ok(Attempt::Accepted(Box::new(Published { snapshot, record })))
        }
        Ok(AppendReply::Conflict) => Ok(Attempt::HeadMoved),
        Err(crate::operation::StoreCallError::NotApplied) => Err(PublishError::Unavailable),
        Err(crate::operation::StoreCallError::Indeterminate) => Ok(Attempt::ResponseLost),
    }
}

/// Applies the history up to the head. Returns the change with the given id if
/// the history contains it, written by an attempt whose response was lost.
async fn catch_up(
    store: &impl ConfigStore,
    current: &mut Snapshot,
    id: ChangeId,
) -> Result<Option<Published>, PublishError> {
    let head = store.head().await.map_err(|_| PublishError::Unavailable)?;
    let newest = head.map_or(Revision::default(), |head| head.revision);
    if newest <= current.revision {
        return Ok(None);
    }
    let changes = store.changes(current.revision, newest).await;
    for record in changes.map_err(|_| PublishError::Unavailable)? {
        *current = current.advance(&record)?;
        if record.id == id {
            return Ok(Some(Published { snapshot: current.clone(), record }));
        }
    }
    Ok(None)
}

/// Validates the change against the current catalog and builds the next record
/// of the history.
async fn next_record(
    store: &impl ConfigStore,
    current: &Snapshot,
    publication: &Publication,
    write_unconfirmed: bool,
) -> Result<ChangeRecord, PublishError> {
    if publication.base < current.revision {
        let concurrent = store.changes(publication.base, current.revision).await;
        let concurrent = concurrent.map_err(|_| PublishError::Unavailable)?;
        if let Some(conflict) = publication.change.conflict_with(&concurrent) {
            return Err(PublishError::Conflict { conflict });
        }
    }
    if !write_unconfirmed && publication.change.is_noop_on(&current.catalog) {
        return Err(PublishError::NoChange);
    }
    let catalog = current.catalog.with_change(&publication.change);
    let errors = validate_catalog(&catalog);
    if !errors.is_empty() {
        return Err(PublishError::InvalidCatalog { errors });
    }
    Ok(ChangeRecord {
        revision: current.revision.next(),
        id: publication.id,
        author: publication.author.clone(),
        published_unix_ms: publication.published_unix_ms,
        digest: catalog.digest(),
        change: publication.change.clone(),
    })
}
