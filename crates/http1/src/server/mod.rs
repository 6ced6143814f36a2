//! Server connections.

mod body_budget;
mod conn;
mod error;
mod request;

pub use body_budget::{BodyBudget, BodyMemory};
pub use conn::ServerConn;
pub use error::ReadError;
pub use request::{BufferedRequest, ReadLimits};
