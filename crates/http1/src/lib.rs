//! HTTP/1.1 client and server connections without pooling.
//!
//! Messages are encoded and decoded by the codecs of `actix-http`. This crate
//! exposes what a router has to know but a pooling client hides: whether a
//! request was sent completely, whether a body ended or was truncated, and
//! whether the peer has closed the connection.

mod body_budget;
pub mod client;
pub mod server;
mod socket;

pub use body_budget::{BodyBudget, BodyMemory, FREE_BYTES};
pub use client::{ClientConn, ConnectError, ResponseError};
pub use server::{BufferedRequest, ReadError, ReadLimits, ServerConn};
