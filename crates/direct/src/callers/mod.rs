//! Connections and requests of callers.

mod admit;
mod connection;
mod request_error;

pub(crate) use connection::serve_caller;
pub(crate) use request_error::{RequestError, send_error};
