//! Sends requests and measures their answers.

mod drive;
mod process_time;
mod request;

pub(crate) use drive::{closed_loop, open_loop};
pub(crate) use process_time::process_use;
pub(crate) use request::{LoadClient, LoadRequest, Measured};
