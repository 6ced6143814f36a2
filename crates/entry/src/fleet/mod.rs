//! The agents and backend servers that this entry uses.

mod member;
mod members;
mod read_batcher;
mod watch;

pub(crate) use member::{Member, OutstandingGuard};
pub(crate) use members::Fleet;
pub(crate) use watch::with_jitter;
