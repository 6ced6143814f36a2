//! What all tries of one search have in common.

use clementine_objects::LayerRange;

use super::bound::repair_times;
use super::queue::Queues;
use super::{LossBound, PathPurpose, PathSearch, PathStage};
use crate::ids::DomainId;

/// Candidate of a path's stage with the layers that it runs.
pub(super) type Stage = (usize, LayerRange);

/// The candidates of a search by index, and what is computed once for each.
#[derive(Debug)]
pub(super) struct SearchSpace<'a> {
    pub(super) search: &'a PathSearch<'a>,
    /// Failure domains that have candidates.
    pub(super) domains: Vec<&'a DomainId>,
    /// Index in `domains` by candidate.
    pub(super) domain_of: Vec<usize>,
    /// Expected wait for the prefills of other requests by candidate, in ms.
    pub(super) waits_ms: Vec<f64>,
    /// Bound of the loss that one engine may cause, for new requests with a target gap.
    pub(super) bound: Option<LossBound>,
    /// Expected time of the prefills after the loss of each candidate, in ms; empty if
    /// there is no bound.
    pub(super) repair_ms: Vec<f64>,
    /// Candidates that have capacity for the request.
    pub(super) usable: Vec<usize>,
    /// The request's current stages whose engines are candidates.
    pub(super) current: Vec<Stage>,
}

impl<'a> SearchSpace<'a> {
    pub(super) fn new(search: &'a PathSearch<'a>) -> Self {
        let candidates = search.candidates;
        let mut domains: Vec<&DomainId> = Vec::new();
        let domain_of = candidates.iter().map(|candidate| {
            domains.iter().position(|known| **known == candidate.domain).unwrap_or_else(|| {
                domains.push(&candidate.domain);
                domains.len() - 1
            })
        });
        let domain_of = domain_of.collect();
        let queues = Queues::new(search.spec, candidates);
        let current = search.current_path.iter().filter_map(|stage: &PathStage| {
            let index = candidates.iter().position(|candidate| candidate.id == stage.id)?;
            Some((index, stage.layers))
        });
        let current: Vec<Stage> = current.collect();
        let usable = (0..candidates.len()).filter(|index| {
            let runs_here = current.iter().any(|(running, _)| running == index);
            runs_here || search.has_capacity(&candidates[*index])
        });
        let is_new = search.purpose == PathPurpose::NewRequest;
        let bound = search.targets.gap.filter(|_| is_new).and_then(LossBound::for_gap);
        let tokens = search.demand.prompt_tokens + search.demand.output_tokens;
        let repair_ms = bound.map(|_| repair_times(search.spec, candidates, tokens));
        Self {
            search,
            bound,
            repair_ms: repair_ms.unwrap_or_default(),
            domain_of,
            waits_ms: candidates.iter().map(|candidate| queues.wait_ms(candidate)).collect(),
            usable: usable.collect(),
            current,
            domains,
        }
    }
}
