//! Requests that crash the backend servers that run them.
//!
//! An entry that sees two servers crash under a request refuses further copies of
//! it and tells the other entries.

mod evidence;
mod lost_run;
mod quarantine;
mod saved;

pub(crate) use lost_run::LostRun;
pub(crate) use quarantine::{is_quarantined, merge_crashes, quarantine_error};
pub(crate) use saved::load_saved_quarantine;
