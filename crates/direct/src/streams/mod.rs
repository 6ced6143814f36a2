//! Requests whose response is a stream of server-sent events.

mod open;
mod outcomes;
mod prefix_hold;
mod progress;
mod recover;
mod relay;
mod repath;
mod route;
mod serve;
mod supervise;
mod watchdog;

pub(crate) use serve::serve;
