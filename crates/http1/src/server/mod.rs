//! Server connections.

mod conn;
mod error;
mod request;

pub use conn::ServerConn;
pub use error::ReadError;
pub use request::{BufferedRequest, ReadLimits};
