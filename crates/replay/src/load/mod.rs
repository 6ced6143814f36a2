//! Load generation and measurement of responses.

mod loops;
mod process_usage;
mod request;

pub(crate) use loops::{closed_loop, open_loop};
pub(crate) use process_usage::process_usage;
pub(crate) use request::{LoadClient, LoadRequest, Measurement};
