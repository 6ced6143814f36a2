//! Answers of the backend server, kept for their readers.

mod buffer;
mod shelf;

pub(crate) use buffer::AnswerBuffer;
pub(crate) use shelf::{Shelf, ShelfLimits};
