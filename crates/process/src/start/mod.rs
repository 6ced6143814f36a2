//! What the starts of all processes share.

mod error;

pub use error::{BindSnafu, SignalsSnafu, StartError};
