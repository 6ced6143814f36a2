//! Client connections to backend servers and the platform.

mod conn;
mod error;

pub use conn::ClientConn;
pub use error::{ConnectError, ResponseError};
