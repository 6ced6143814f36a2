//! A histogram of times.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::error::ReplayError;

/// Percentiles of a histogram of times, in µs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Latency {
    /// Number of times.
    pub(crate) count: u64,
    /// 50th percentile.
    pub(crate) p50_us: u64,
    /// 95th percentile.
    pub(crate) p95_us: u64,
    /// 99th percentile.
    pub(crate) p99_us: u64,
    /// Largest time.
    pub(crate) max_us: u64,
}

impl Latency {
    /// Percentiles of times.
    pub(crate) fn of(times: impl Iterator<Item = Duration>) -> Result<Self, ReplayError> {
        let mut histogram: Histogram<u64> = Histogram::new(3)?;
        for time in times {
            histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))?;
        }
        Ok(Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        })
    }
}
