//! Requests that crash the backend servers that run them.

mod evidence;
mod lost_run;

pub(crate) use lost_run::LostRun;
