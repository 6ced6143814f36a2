//! Connections from callers.

mod conn;
mod error;
mod message;

pub use conn::ServerConn;
pub use error::ReadError;
pub use message::{CallerMessage, ReadLimits};
