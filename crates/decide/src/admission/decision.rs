//! Answers of the admission queue.

use clementine_objects::Millis;

/// Answer to an offer of work.
#[derive(Debug, PartialEq, Eq)]
pub enum AdmissionDecision<T> {
    /// A slot is free: start the work now.
    Start(T),
    /// The work waits for a slot.
    Queued,
    /// The work is not admitted.
    Refused(Refusal<T>),
}

/// Work that was not admitted, handed back to its owner.
#[derive(Debug, PartialEq, Eq)]
pub struct Refusal<T> {
    /// The refused work.
    pub item: T,
    /// When the queue is expected to have room.
    pub retry_after: Millis,
}
