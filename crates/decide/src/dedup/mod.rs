//! The run-once gate of an agent.
//!
//! Everything that reaches a backend server passes its agent's gate. The gate
//! runs each work id at most once and can seal a work id that it has not run,
//! after which it never will.

mod decision;
mod table;
mod tag;

pub use decision::{AcceptDecision, AttachDecision, RunPermit};
pub use table::DedupTable;
pub use tag::WorkTag;
