//! Deduplication of work at an agent.
//!
//! Before an agent passes work to its backend server, it checks the work id
//! against a deduplication table. The table admits each work id at most once.
//! It can also seal a work id that has not been executed, which guarantees that
//! the work is never executed later.

mod decision;
mod table;
mod tag;

pub use decision::{AcceptDecision, AttachDecision, RunPermit};
pub use table::DedupTable;
pub use tag::WorkTag;
