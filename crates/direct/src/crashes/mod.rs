//! Requests that crash the backend servers that run them.
//!
//! An entry that sees two servers crash under a request refuses further copies of
//! it and tells the other entries.

mod evidence;
mod loss;
mod quarantine;
mod restore;
mod run;
mod saved;
mod watch;

pub(crate) use quarantine::{
    check_quarantine, is_quarantined, late_quarantine_error, merge_crashes, record_completion,
    record_response_begun,
};
pub(crate) use restore::load_saved_quarantine;
pub(crate) use run::Run;
