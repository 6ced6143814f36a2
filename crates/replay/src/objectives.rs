//! Service-level objectives that the results of a replay are checked against.

use std::path::Path;

use serde::Deserialize;
use snafu::ResultExt;

use crate::error::{IoSnafu, JsonSnafu, ReplayError};
use crate::report::Summary;

/// Service-level objectives, read from JSON; `None` means no objective.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Objectives {
    /// Minimum share of successful requests, from 0 to 1.
    #[serde(rename = "good_share")]
    pub(crate) success_ratio: Option<f64>,
    /// Maximum 95th percentile of the time to the first byte, in ms.
    pub(crate) first_p95_ms: Option<u64>,
    /// Maximum 95th percentile of the time between chunks of a stream, in ms.
    pub(crate) gap_p95_ms: Option<u64>,
    /// Maximum number of responses with the outcome `unknown`.
    pub(crate) unknown: Option<u64>,
}

impl Objectives {
    /// Reads objectives from a JSON file.
    pub(crate) fn read(path: &Path) -> Result<Self, ReplayError> {
        let text = std::fs::read_to_string(path).context(IoSnafu { path })?;
        serde_json::from_str(&text).context(JsonSnafu { path, line: 1_usize })
    }

    /// Describes each objective that a summary does not meet.
    pub(crate) fn violations(&self, summary: &Summary) -> Vec<String> {
        let mut violations = Vec::new();
        let ratio = summary.successful as f64 / summary.requests.max(1) as f64;
        if let Some(minimum) = self.success_ratio.filter(|minimum| ratio < *minimum) {
            violations.push(format!("success ratio is {ratio:.4}, objective is {minimum}"));
        }
        let first_ms = summary.time_to_first_byte.p95_us / 1_000;
        if let Some(maximum) = self.first_p95_ms.filter(|maximum| first_ms > *maximum) {
            violations.push(format!(
                "95th percentile of the time to first byte is {first_ms} ms, objective is {maximum} ms"
            ));
        }
        let gap_ms = summary.gaps.p95_us / 1_000;
        if let Some(maximum) = self.gap_p95_ms.filter(|maximum| gap_ms > *maximum) {
            violations.push(format!(
                "95th percentile of the time between chunks is {gap_ms} ms, objective is {maximum} ms"
            ));
        }
        let unknown = summary.responses.iter().filter(|(label, _)| label.ends_with("unknown"));
        let unknown: u64 = unknown.map(|(_, count)| count).sum();
        if let Some(maximum) = self.unknown.filter(|maximum| unknown > *maximum) {
            violations.push(format!("{unknown} outcomes are unknown, objective is {maximum}"));
        }
        violations
    }
}
