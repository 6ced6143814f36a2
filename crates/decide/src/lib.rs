//! Decision logic of clementinehub.
//!
//! Nothing in this crate opens a socket, reads a clock or draws a random
//! number: times and seeds are arguments, and whatever reaches out is a trait
//! that the caller implements. Any driver can step it, tests included.

pub mod admission;
pub mod balance;
pub mod circuit;
pub mod config;
pub mod dedup;
pub mod events;
pub mod fleet;
pub mod ids;
pub mod lease;
pub mod operation;
pub mod outcome;
pub mod overload;
pub mod paths;
pub mod peers;
pub mod placement;
pub mod publish;
pub mod quarantine;
pub mod retry;
pub mod routing;
pub mod stage;
