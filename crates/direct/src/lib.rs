//! Entry that connects to backend servers directly, without an agent on their
//! instances.
//!
//! `clementine-platform` implements the platform's HTTP interfaces for callers,
//! backend servers and the store, and `clementine-decide` the decisions. This
//! crate does the I/O.

mod accept;
mod buffered;
mod callers;
mod crashes;
mod engines;
mod follow;
mod peers;
mod planner;
mod readiness;
mod reload;
mod run;
mod shared;
mod streams;

pub use run::{DirectError, Running, run, start};
