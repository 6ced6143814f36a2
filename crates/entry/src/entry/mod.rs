//! The entry's state.

mod metrics;
mod state;

pub(crate) use metrics::EntryMetrics;
pub(crate) use state::Entry;
