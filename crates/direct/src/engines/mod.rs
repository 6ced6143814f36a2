//! Engines: calls to them, and which of them are down.

mod calls;
mod inspect;
mod leaving;
mod reach;

pub(crate) use calls::{CALL_LIMIT, CallError, ask_report, change_path, place_layers};
pub(crate) use inspect::{check_backend, inspect_run};
pub(crate) use reach::reach_engines;
