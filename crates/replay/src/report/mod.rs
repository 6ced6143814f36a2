//! Summaries of measured answers.

mod latency;
mod summary;

pub(crate) use latency::Latency;
pub(crate) use summary::Summary;
