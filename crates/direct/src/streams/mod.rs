//! Requests that are answered with a stream of events.

mod attempt;
mod relay;
mod route;
mod serve;
mod watchdog;

pub(crate) use serve::serve;
