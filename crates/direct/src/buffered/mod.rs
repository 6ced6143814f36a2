//! Requests without an event stream. Their responses are small and are buffered
//! completely before they are relayed to the caller.

mod attempt;
mod body;
mod serve;

pub(crate) use attempt::{BufferedResponse, CONNECT_TIMEOUT};
pub(crate) use body::{BodyLimits, read_response_body};
pub(crate) use serve::{send_buffered, serve};
