//! Load balancing: selects a backend server among candidates.

use compact_str::CompactString;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use super::Candidate;
use crate::ids::AgentRef;

/// Number of candidates drawn at random and compared for each request.
const SAMPLE_SIZE: usize = 3;

/// Share of suspected candidates above which suspicion is ignored and requests
/// go to all candidates.
const PANIC_THRESHOLD: f64 = 0.5;

/// Lower bound of the service time, in µs. Also used for backend servers that
/// have not reported one.
const MIN_SERVICE_TIME_US: u64 = 1_000;

/// Candidates to exclude or avoid for a request.
#[derive(Debug, Clone, Default)]
pub struct Exclusions {
    /// Agents that have already refused or failed the request. Never selected.
    pub tried: Vec<AgentRef>,
    /// Failure domains in which the request has failed. Selected only if no
    /// other has a candidate.
    pub failed_domains: Vec<CompactString>,
}

/// Selects the candidate with the least expected delay among a few drawn at
/// random (power of k choices).
///
/// Suspected candidates and those in the failure domains of earlier failures
/// are skipped unless no other candidate is left.
pub fn choose(
    candidates: &[Candidate],
    exclusions: &Exclusions,
    rng: &mut impl Rng,
) -> Option<AgentRef> {
    let untried: Vec<_> =
        candidates.iter().filter(|c| !exclusions.tried.contains(&c.agent)).collect();
    let suspected = untried.iter().filter(|c| c.suspected).count() as f64;
    let panic = suspected > PANIC_THRESHOLD * untried.len() as f64;
    let healthy = prefer(untried, |c| panic || !c.suspected);
    let preferred = prefer(healthy, |c| !exclusions.failed_domains.contains(&c.domain));
    let sample = preferred.sample(rng, SAMPLE_SIZE);
    let best =
        sample.map(|c| (expected_delay_us(c), rng.random::<u32>(), c)).min_by_key(|d| (d.0, d.1));
    best.map(|(_, _, candidate)| candidate.agent)
}

/// Returns the matching candidates, or all if none matches.
fn prefer(candidates: Vec<&Candidate>, matches: impl Fn(&Candidate) -> bool) -> Vec<&Candidate> {
    let matching: Vec<_> = candidates.iter().copied().filter(|c| matches(c)).collect();
    if matching.is_empty() { candidates } else { matching }
}

/// Expected delay of a request sent to a candidate, in µs.
pub(crate) fn expected_delay_us(candidate: &Candidate) -> u64 {
    let load = &candidate.load;
    let reported = u64::from(load.running + load.queued);
    let in_progress = reported.max(u64::from(candidate.outstanding));
    let slots = u64::from(load.slots.max(1));
    let service_time_us = (load.service_time.0 * 1_000).max(MIN_SERVICE_TIME_US);
    candidate.round_trip_us + service_time_us * (in_progress + 1) / slots
}
