//! The choice among candidates.

use compact_str::CompactString;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use super::Candidate;
use crate::ids::AgentRef;

/// Candidates compared for each choice.
const COMPARED: usize = 3;

/// Share of suspected candidates at which suspicion is not believed.
const PANIC_SHARE: f64 = 0.5;

/// Service time assumed of a backend server that has reported none, in µs.
const UNKNOWN_SERVICE_TIME_US: u64 = 1_000;

/// What a choice avoids.
#[derive(Debug, Clone, Default)]
pub struct Exclusions {
    /// Agents that have refused or failed this request.
    pub tried: Vec<AgentRef>,
    /// Failure domains in which this request has failed.
    pub failed_domains: Vec<CompactString>,
}

/// Chooses the candidate with the least expected delay among a few drawn at
/// random.
///
/// Suspected candidates and failure domains of earlier failures are passed
/// over while others remain.
pub fn choose(
    candidates: &[Candidate],
    avoid: &Exclusions,
    rng: &mut impl Rng,
) -> Option<AgentRef> {
    let untried: Vec<_> = candidates.iter().filter(|c| !avoid.tried.contains(&c.agent)).collect();
    let suspected = untried.iter().filter(|c| c.suspected).count() as f64;
    let panic = suspected > PANIC_SHARE * untried.len() as f64;
    let healthy = narrow(untried, |c| panic || !c.suspected);
    let spread = narrow(healthy, |c| !avoid.failed_domains.contains(&c.domain));
    let drawn = spread.sample(rng, COMPARED);
    let best =
        drawn.map(|c| (expected_delay_us(c), rng.random::<u32>(), c)).min_by_key(|d| (d.0, d.1));
    best.map(|(_, _, candidate)| candidate.agent)
}

/// Keeps the matching candidates, or all when none matches.
fn narrow(candidates: Vec<&Candidate>, keep: impl Fn(&Candidate) -> bool) -> Vec<&Candidate> {
    let kept: Vec<_> = candidates.iter().copied().filter(|c| keep(c)).collect();
    if kept.is_empty() { candidates } else { kept }
}

/// Delay that a request is expected to meet at a candidate, in µs.
pub(crate) fn expected_delay_us(candidate: &Candidate) -> u64 {
    let load = &candidate.load;
    let reported = u64::from(load.running + load.queued);
    let in_progress = reported.max(u64::from(candidate.outstanding));
    let slots = u64::from(load.slots.max(1));
    let service_time_us = (load.service_time.0 * 1_000).max(UNKNOWN_SERVICE_TIME_US);
    candidate.round_trip_us + service_time_us * (in_progress + 1) / slots
}
