//! Calls to engines, and detection of failed engines.

mod calls;
mod diagnose;
mod health;
mod identity;
mod probe;
mod reported;

pub(crate) use calls::{CALL_TIMEOUT, CallError, change_path, fetch_report, place_layers};
pub(crate) use diagnose::{check_backend, diagnose_stall, mark_down};
pub(crate) use identity::{confirm_identity, doubt_former_owners, doubt_identity};
pub(crate) use probe::{connect_to_engine, probe_engines};
pub(crate) use reported::apply_sighting;
