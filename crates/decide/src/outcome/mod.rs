//! What became of a request, and the table from error kind to answer.

mod error_kind;
mod execution_outcome;

pub use error_kind::{ErrorKind, ErrorResponse};
pub use execution_outcome::Outcome;
