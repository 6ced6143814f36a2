//! Summaries of measurements.

mod latency;
mod summary;

pub(crate) use latency::LatencyStats;
pub(crate) use summary::Summary;
