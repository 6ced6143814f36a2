//! Connections and requests of callers.

mod admit;
mod connection;
mod refusal;

pub(crate) use connection::serve_caller;
pub(crate) use refusal::{Refusal, refuse};
