//! Shared state and metrics of the entry process.

mod metrics;
mod state;

pub(crate) use metrics::EntryMetrics;
pub(crate) use state::Entry;
