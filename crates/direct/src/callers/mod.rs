//! Connections of callers.

mod accept;
mod admit;
mod refusal;

pub(crate) use accept::serve_callers;
pub(crate) use refusal::{Refusal, refuse};
