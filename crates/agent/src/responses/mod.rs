//! Answers of the backend server, kept for their readers.

mod buffer;
mod store;

pub(crate) use buffer::ResponseBuffer;
pub(crate) use store::{ResponseStore, ResponseStoreLimits};
