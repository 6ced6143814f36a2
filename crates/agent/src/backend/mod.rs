//! HTTP client for the backend server.

mod call;
mod client;
mod events;
mod headers;
mod idle;

pub(crate) use call::{CallOutcome, call_backend};
pub(crate) use client::BackendAddress;
pub(crate) use idle::IdleConnections;
