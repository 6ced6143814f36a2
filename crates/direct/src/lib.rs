//! The entry on deployments where it reaches backend servers without an agent.
//!
//! Callers, backend servers and the store speak the platform's protocol, which
//! `clementine-platform` translates. What to do is decided in
//! `clementine-decide`; this crate carries it out.

mod accept;
mod buffered;
mod callers;
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
