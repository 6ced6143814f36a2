//! Requests that are answered with a stream of events.

mod open;
mod progress;
mod relay;
mod repath;
mod route;
mod serve;
mod supervise;
mod watchdog;

pub(crate) use serve::serve;
