//! Answers of a gate.

use crate::ids::WorkId;

/// Right to run one piece of work once.
///
/// Only a gate makes permits, one for each work id, and running the work
/// consumes it.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct RunPermit {
    work: WorkId,
}

impl RunPermit {
    pub(super) const fn new(work: WorkId) -> Self {
        Self { work }
    }

    /// The permitted work.
    pub const fn work(&self) -> WorkId {
        self.work
    }
}

/// Answer to an order to run work.
#[derive(Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// The work has not run: run it now.
    Run(RunPermit),
    /// The work was accepted before; its answer is in the buffer or dropped.
    Accepted,
    /// The work has not run and never will: it was sealed.
    Sealed,
    /// The work was made for another incarnation or too old an epoch. It has
    /// not been run by this order.
    NotCurrent,
}

/// Answer to a request to attach to work.
#[derive(Debug, PartialEq, Eq)]
pub enum AttachDecision {
    /// The work was accepted.
    Accepted,
    /// The work has not run and, sealed by this very request, never will.
    Sealed,
    /// This incarnation no longer knows whether the work ran.
    Forgotten,
    /// The work was made for another incarnation.
    OtherIncarnation,
}
