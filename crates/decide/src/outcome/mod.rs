//! Execution outcomes, and the mapping from error kinds to HTTP responses.

mod error_kind;
mod execution_outcome;

pub use error_kind::{ErrorKind, ErrorResponse};
pub use execution_outcome::Outcome;
