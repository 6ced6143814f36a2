//! What became of a request, and the table from error kind to answer.

mod error_kind;
mod what_ran;

pub use error_kind::{AnswerRule, ErrorKind};
pub use what_ran::Outcome;
