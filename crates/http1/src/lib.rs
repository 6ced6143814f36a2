//! HTTP/1.1 connections that the process owns from the first byte to the last.
//!
//! The codecs are the library's; this crate adds what a router has to know and
//! a pooling client hides: whether a request was sent whole, whether a body
//! ended or was cut off, and whether the peer has left.

pub mod client;
pub mod server;
mod socket;

pub use client::{ClientConn, ConnectError, ResponseError};
pub use server::{BufferedRequest, ReadError, ReadLimits, ServerConn};
