//! Requests whose answers are small and are read whole before they are passed
//! on.

mod attempt;
mod serve;

pub(crate) use attempt::CONNECT_LIMIT;
pub(crate) use serve::serve;
