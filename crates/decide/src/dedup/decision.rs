//! Decisions of the deduplication table.

use crate::ids::WorkId;

/// Permission to execute one work id once.
///
/// Only the deduplication table creates permits, at most one per work id, and
/// executing the work consumes the permit.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct RunPermit {
    work: WorkId,
}

impl RunPermit {
    pub(super) const fn new(work: WorkId) -> Self {
        Self { work }
    }

    /// Id of the permitted work.
    pub const fn work(&self) -> WorkId {
        self.work
    }
}

/// Decision on a request to execute work.
#[derive(Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// The work has not been executed; execute it now.
    Run(RunPermit),
    /// The work was accepted before; its response is buffered or was dropped.
    Accepted,
    /// The work was sealed: it has not been executed and never will be.
    Sealed,
    /// The work was issued for another incarnation or for an expired epoch. This
    /// request did not execute it.
    NotCurrent,
}

/// Decision on a request to attach to work.
#[derive(Debug, PartialEq, Eq)]
pub enum AttachDecision {
    /// The work was accepted.
    Accepted,
    /// The work was sealed, by this request or an earlier one: it has not been
    /// executed and never will be.
    Sealed,
    /// The epoch's records were discarded, so it is unknown whether the work was
    /// executed.
    Forgotten,
    /// The work was issued for another incarnation.
    OtherIncarnation,
}
