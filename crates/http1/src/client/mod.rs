//! Connections to backend servers and to the platform.

mod conn;
mod error;

pub use conn::ClientConn;
pub use error::{ConnectError, ResponseError};
