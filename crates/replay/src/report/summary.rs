//! Summary of the measurements of a run.

use std::collections::BTreeMap;

use serde::Serialize;

use super::LatencyStats;
use crate::error::ReplayError;
use crate::load::Measurement;

/// Summary of a set of measurements. Field names are keys of the JSON report.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Summary {
    /// Number of requests sent.
    pub(crate) requests: u64,
    /// Number of successful requests: status 200 and a complete response.
    #[serde(rename = "good")]
    pub(crate) successful: u64,
    /// Number of tokens received in successful responses.
    pub(crate) tokens: u64,
    /// Number of responses by status code and outcome; status 0 stands for no
    /// response.
    #[serde(rename = "answers")]
    pub(crate) responses: BTreeMap<String, u64>,
    /// Time to the first byte of successful responses.
    #[serde(rename = "first")]
    pub(crate) time_to_first_byte: LatencyStats,
    /// Total time of successful requests.
    #[serde(rename = "whole")]
    pub(crate) total_time: LatencyStats,
    /// Time between successive chunks of successful streamed responses.
    pub(crate) gaps: LatencyStats,
}

impl Summary {
    /// Summarizes a set of measurements.
    pub(crate) fn from_measurements(measurements: &[Measurement]) -> Result<Self, ReplayError> {
        let successful: Vec<_> =
            measurements.iter().filter(|m| m.status == 200 && m.complete).collect();
        let mut responses = BTreeMap::new();
        for measurement in measurements {
            *responses
                .entry(format!("{} {}", measurement.status, measurement.outcome))
                .or_default() += 1;
        }
        Ok(Self {
            requests: measurements.len() as u64,
            successful: successful.len() as u64,
            tokens: successful.iter().map(|m| m.tokens).sum(),
            responses,
            time_to_first_byte: LatencyStats::from_samples(
                successful.iter().map(|m| m.time_to_first_byte),
            )?,
            total_time: LatencyStats::from_samples(successful.iter().map(|m| m.total_time))?,
            gaps: LatencyStats::from_samples(
                successful.iter().flat_map(|m| m.gaps.iter().copied()),
            )?,
        })
    }
}
