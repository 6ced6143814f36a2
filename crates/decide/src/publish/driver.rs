//! Drives one change from the operator to its acceptance.

use clementine_objects::{Change, ChangeId, ChangeRecord, Revision, Snapshot, validate_catalog};
use compact_str::CompactString;

use super::{AppendReply, ConfigStore, PublishError};

/// Bounds of one publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishLimits {
    /// Rounds of reading the head and appending.
    pub rounds: u32,
}

impl Default for PublishLimits {
    fn default() -> Self {
        Self { rounds: 8 }
    }
}

/// A change that an operator wants published.
#[derive(Debug, Clone)]
pub struct Publication {
    /// Identity of the change.
    pub id: ChangeId,
    /// Revision that the operator has seen.
    pub base: Revision,
    /// Who makes the change.
    pub author: CompactString,
    /// The change.
    pub change: Change,
    /// Wall-clock time in ms since 1970.
    pub published_unix_ms: u64,
}

/// An accepted change.
#[derive(Debug, Clone)]
pub struct Published {
    /// The configuration after the change.
    pub snapshot: Snapshot,
    /// The record in the history.
    pub record: ChangeRecord,
}

/// Publishes a change: checks it against the revision that it replaces and
/// moves the head to it.
///
/// Changes that others have published since the base revision are merged when
/// they touch other objects and the merged whole passes the check.
///
/// # Errors
///
/// See [`PublishError`]. Only `Unclear` leaves open whether the change was
/// accepted.
pub async fn publish(
    store: &impl ConfigStore,
    held: &Snapshot,
    publication: &Publication,
    limits: PublishLimits,
) -> Result<Published, PublishError> {
    let mut current = held.clone();
    let mut lost_write = false;
    let mut last_error = PublishError::Unavailable;
    for _ in 0..limits.rounds {
        match round(store, &mut current, publication, lost_write).await {
            Ok(Round::Accepted(published)) => return Ok(*published),
            Ok(Round::Overtaken) => {}
            Ok(Round::AnswerLost) => lost_write = true,
            Err(PublishError::Unavailable) => last_error = PublishError::Unavailable,
            Err(error) => return Err(error),
        }
    }
    Err(if lost_write { PublishError::Unclear { id: publication.id } } else { last_error })
}

enum Round {
    Accepted(Box<Published>),
    Overtaken,
    AnswerLost,
}

async fn round(
    store: &impl ConfigStore,
    current: &mut Snapshot,
    publication: &Publication,
    lost_write: bool,
) -> Result<Round, PublishError> {
    let own = catch_up(store, current, publication.id).await?;
    if let Some(published) = own {
        return Ok(Round::Accepted(Box::new(published)));
    }
    let record = next_record(store, current, publication, lost_write).await?;
    match store.append(&record).await {
        Ok(AppendReply::Written) => {
            let snapshot = current.advance(&record)?;
            Ok(Round::Accepted(Box::new(Published { snapshot, record })))
        }
        Ok(AppendReply::Conflict) => Ok(Round::Overtaken),
        Err(crate::operation::StoreFault::NoEffect) => Err(PublishError::Unavailable),
        Err(crate::operation::StoreFault::Unclear) => Ok(Round::AnswerLost),
    }
}

/// Follows the history to the head. Returns our own change where it is found
/// there, as written by a round whose answer was lost.
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

async fn next_record(
    store: &impl ConfigStore,
    current: &Snapshot,
    publication: &Publication,
    lost_write: bool,
) -> Result<ChangeRecord, PublishError> {
    if publication.base < current.revision {
        let rivals = store.changes(publication.base, current.revision).await;
        let rivals = rivals.map_err(|_| PublishError::Unavailable)?;
        if let Some(conflict) = publication.change.conflict_with(&rivals) {
            return Err(PublishError::Conflict { conflict });
        }
    }
    if !lost_write && publication.change.is_noop_on(&current.catalog) {
        return Err(PublishError::Empty);
    }
    let catalog = current.catalog.with_change(&publication.change);
    let faults = validate_catalog(&catalog);
    if !faults.is_empty() {
        return Err(PublishError::Faulty { faults });
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
