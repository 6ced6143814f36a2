//! Requests that are answered with a stream of events.

mod attempt;
mod relay;
mod route;
mod serve;

pub(crate) use serve::serve;
