//! Requests that are answered with a stream of events.

mod attempt;
mod progress;
mod repath;
mod route;
mod run;
mod serve;
mod supervise;
mod watchdog;

pub(crate) use serve::serve;
