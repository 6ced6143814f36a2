//! Summary of one run.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Latency;
use crate::error::ReplayError;
use crate::load::Measured;

/// Summary of measured answers of one sort.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Summary {
    /// Requests sent.
    pub(crate) requests: u64,
    /// Whole answers with status 200.
    pub(crate) good: u64,
    /// Tokens received.
    pub(crate) tokens: u64,
    /// Answers by status code and outcome; status 0 means no answer.
    pub(crate) answers: BTreeMap<String, u64>,
    /// Time to the first bytes of good answers.
    pub(crate) first: Latency,
    /// Time to the last byte of good answers.
    pub(crate) whole: Latency,
    /// Time between tokens of good answers.
    pub(crate) gaps: Latency,
}

impl Summary {
    /// Summarizes measured answers.
    pub(crate) fn of(measured: &[Measured]) -> Result<Self, ReplayError> {
        let good: Vec<_> = measured.iter().filter(|m| m.status == 200 && m.complete).collect();
        let mut answers = BTreeMap::new();
        for answer in measured {
            *answers.entry(format!("{} {}", answer.status, answer.outcome)).or_default() += 1;
        }
        Ok(Self {
            requests: measured.len() as u64,
            good: good.len() as u64,
            tokens: good.iter().map(|m| m.tokens).sum(),
            answers,
            first: Latency::of(good.iter().map(|m| m.first))?,
            whole: Latency::of(good.iter().map(|m| m.whole))?,
            gaps: Latency::of(good.iter().flat_map(|m| m.gaps.iter().copied()))?,
        })
    }
}
