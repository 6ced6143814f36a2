//! Results of offering work to the admission queue.

use clementine_objects::Millis;

/// Result of offering work to the admission queue.
#[derive(Debug, PartialEq, Eq)]
pub enum AdmissionDecision<T> {
    /// A slot is free: start the work now.
    Start(T),
    /// The work waits for a slot.
    Queued,
    /// The work is not admitted.
    Refused(Refusal<T>),
}

/// Refused work, handed back to the code that offered it.
#[derive(Debug, PartialEq, Eq)]
pub struct Refusal<T> {
    /// The refused work.
    pub item: T,
    /// Expected time until a slot is free.
    pub retry_after: Millis,
}
