//! HTTP client for the backend server.

mod address;
mod call;
mod headers;
mod idle;

pub(crate) use address::BackendAddress;
pub(crate) use call::{CallOutcome, call_backend};
pub(crate) use idle::IdleConnections;
