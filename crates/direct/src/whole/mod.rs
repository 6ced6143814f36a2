//! Requests whose answers are small and are read whole before they are passed
//! on.

mod attempt;
mod serve;

pub(crate) use attempt::{CONNECT_LIMIT, WholeAnswer};
pub(crate) use serve::{send_whole, serve};
