//! Connections to backend servers and to the platform.

mod error;
mod exchange;

pub use error::{AnswerError, ConnectError};
pub use exchange::Exchange;
