//! Engines: calls to them, and which of them are down.

mod calls;
mod inspect;

pub(crate) use calls::{CALL_LIMIT, ask_report, give_order};
pub(crate) use inspect::{check_backend, inspect_run};
