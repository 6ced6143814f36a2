//! Buffered responses of the backend server. Entries read them by offset and may
//! read them again over another connection.

mod buffer;
mod store;

pub(crate) use buffer::ResponseBuffer;
pub(crate) use store::{ResponseStore, ResponseStoreLimits};
