//! Requests whose answers are small and are read whole before they are passed
//! on.

mod attempt;
mod serve;

pub(crate) use attempt::{BufferedResponse, CONNECT_TIMEOUT};
pub(crate) use serve::{send_buffered, serve};
