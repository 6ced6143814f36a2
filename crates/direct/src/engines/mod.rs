//! Engines: calls to them, and which of them are down.

mod calls;
mod inspect;

pub(crate) use calls::{CALL_LIMIT, ask_report, change_path, place_layers};
pub(crate) use inspect::{check_backend, inspect_run};
