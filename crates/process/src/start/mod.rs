//! Startup errors common to all processes.

mod error;

pub use error::{BindSnafu, SignalsSnafu, StartError};
