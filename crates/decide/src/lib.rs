//! Decision logic of clementinehub.
//!
//! The crate performs no I/O, reads no clock and has no source of randomness:
//! times, seeds and random number generators are arguments, and I/O goes through
//! traits that the calling crate implements. Tests can therefore run the logic
//! deterministically.

pub mod admission;
pub mod balance;
pub mod circuit;
pub mod config;
pub mod dedup;
pub mod events;
pub mod fleet;
pub mod ids;
pub mod lease;
pub mod limits;
pub mod operation;
pub mod outcome;
pub mod overload;
pub mod paths;
pub mod peers;
pub mod placement;
pub mod prefixes;
pub mod publish;
pub mod quarantine;
pub mod retry;
pub mod routing;
pub mod shares;
pub mod signals;
pub mod stage;
