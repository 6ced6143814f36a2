//! The run-once gate of an agent.
//!
//! Everything that reaches a backend server passes its agent's gate. The gate
//! runs each work id at most once and can seal a work id that it has not run,
//! after which it never will.

mod records;
mod tag;
mod verdict;

pub use records::Gate;
pub use tag::WorkTag;
pub use verdict::{AcceptVerdict, AttachVerdict, RunPermit};
