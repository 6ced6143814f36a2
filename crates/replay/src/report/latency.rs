//! Latency percentiles.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::error::ReplayError;

/// Distribution of a set of latencies, in µs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct LatencyStats {
    /// Number of samples.
    pub(crate) count: u64,
    /// Median.
    pub(crate) p50_us: u64,
    /// 95th percentile.
    pub(crate) p95_us: u64,
    /// 99th percentile.
    pub(crate) p99_us: u64,
    /// Maximum.
    pub(crate) max_us: u64,
}

impl LatencyStats {
    /// Computes the distribution to three significant digits.
    pub(crate) fn from_samples(
        samples: impl Iterator<Item = Duration>,
    ) -> Result<Self, ReplayError> {
        let mut histogram: Histogram<u64> = Histogram::new(3)?;
        for sample in samples {
            histogram.record(u64::try_from(sample.as_micros()).unwrap_or(u64::MAX))?;
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
