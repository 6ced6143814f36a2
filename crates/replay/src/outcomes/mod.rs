//! Stated outcomes that a replay is held against.

use std::path::Path;

use serde::Deserialize;
use snafu::ResultExt;

use crate::error::{FileSnafu, LineSnafu, ReplayError};
use crate::report::Summary;

/// Stated outcomes; an absent one does not bind.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StatedOutcomes {
    /// Least share of good answers, from 0 to 1.
    pub(crate) good_share: Option<f64>,
    /// Longest 95th percentile of the time to the first token, in ms.
    pub(crate) first_p95_ms: Option<u64>,
    /// Longest 95th percentile of the time between tokens, in ms.
    pub(crate) gap_p95_ms: Option<u64>,
    /// Most answers whose outcome is unknown.
    pub(crate) unknown: Option<u64>,
}

impl StatedOutcomes {
    /// Reads a JSON file.
    pub(crate) fn read(path: &Path) -> Result<Self, ReplayError> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        serde_json::from_str(&text).context(LineSnafu { path, line: 1_usize })
    }

    /// The outcomes that a run did not reach, one sentence each.
    pub(crate) fn missed(&self, summary: &Summary) -> Vec<String> {
        let mut missed = Vec::new();
        let share = summary.good as f64 / summary.requests.max(1) as f64;
        if let Some(wanted) = self.good_share.filter(|wanted| share < *wanted) {
            missed.push(format!("the share of good answers is {share:.4}, stated is {wanted}"));
        }
        let first_ms = summary.first.p95_us / 1_000;
        if let Some(wanted) = self.first_p95_ms.filter(|wanted| first_ms > *wanted) {
            missed.push(format!("the first token takes {first_ms} ms, stated is {wanted}"));
        }
        let gap_ms = summary.gaps.p95_us / 1_000;
        if let Some(wanted) = self.gap_p95_ms.filter(|wanted| gap_ms > *wanted) {
            missed.push(format!("tokens are {gap_ms} ms apart, stated is {wanted}"));
        }
        let unknown = summary.answers.iter().filter(|(label, _)| label.ends_with("unknown"));
        let unknown: u64 = unknown.map(|(_, count)| count).sum();
        if let Some(wanted) = self.unknown.filter(|wanted| unknown > *wanted) {
            missed.push(format!("{unknown} outcomes are unknown, stated is {wanted}"));
        }
        missed
    }
}
