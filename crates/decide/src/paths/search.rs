//! Search for the path of one request.

use clementine_objects::LayerRange;
use rand::Rng;

use super::cost::Costs;
use super::program::PathProgram;
use super::spread::Preference;
use super::{Demand, LinkUsage, PathCandidate, PathPurpose, PathStage, PathTargets};
use crate::fleet::EngineSpec;
use crate::ids::{BackendId, Tick};

/// Fraction of an engine's KV cache that requests may reserve.
const MAX_CACHE_UTILIZATION: f64 = 0.95;

/// Link utilization above which paths avoid a link between failure domains. The
/// headroom covers links that are slower than specified and traffic that other
/// entries have not reported yet.
const MAX_LINK_UTILIZATION: f64 = 0.25;
/// Limit of the link utilization if no path stays below
/// [`MAX_LINK_UTILIZATION`].
const FALLBACK_LINK_UTILIZATION: f64 = 0.6;

/// Transfer time between failure domains above which a request stays within one
/// domain if any has capacity, in ms. A long transfer delays the tokens of all
/// other requests on the link.
const MAX_TRANSFER_MS: f64 = 30.0;

/// Limit of the link utilization for requests whose transfer takes longer than
/// [`MAX_TRANSFER_MS`], if no single domain has capacity.
const LONG_TRANSFER_LINK_UTILIZATION: f64 = 0.1;

/// Preference of a repair: in proportion to speed.
const REPAIR_PREFERENCE: Preference = Preference { domain: f64::INFINITY, engine: 1.0 };
/// Preferences of a new request, of which the first is used whose path meets the
/// targets. Even the last one spreads requests over engines of nearly equal cost.
///
/// The first was chosen by the test `path_spread`: a weaker preference between
/// engines makes streams longer, so that the loss of an engine meets more of them,
/// and a stronger one between domains concentrates them on the fastest domain.
const PREFERENCES: [Preference; 3] = [
    Preference { domain: 1.0, engine: 4.0 },
    Preference { domain: 3.0, engine: 6.0 },
    Preference { domain: 10.0, engine: 10.0 },
];

/// Search for the path of one request.
#[derive(Debug, Clone, Copy)]
pub struct PathSearch<'a> {
    /// Performance model of the engines.
    pub spec: &'a EngineSpec,
    /// Engines that the path may use.
    pub candidates: &'a [PathCandidate],
    /// Usage of the links between failure domains.
    pub links: &'a LinkUsage,
    /// Resources that the request needs.
    pub demand: Demand,
    /// What the caller expects.
    pub targets: PathTargets,
    /// What the path is for.
    pub purpose: PathPurpose,
    /// Number of entries that serve requests, including this one.
    pub entries: u32,
    /// Engines that may run the first stage; empty to allow all.
    pub allowed_first: &'a [BackendId],
    /// Path on which the request is already running; empty if there is none. Its
    /// first stage is kept, and unchanged stages need no prefill because they
    /// have the request's KV cache.
    pub current_path: &'a [PathStage],
    /// Current time.
    pub now: Tick,
}

impl PathSearch<'_> {
    /// Chooses a path through all layers, or returns `None` if no path has capacity
    /// for the request.
    ///
    /// Handles requests of all entries that see the same engines with views half a
    /// second old, on engines of different speeds. A new request takes slower engines
    /// too, as long as its path meets the targets, so that no engine carries most of
    /// the requests.
    ///
    /// Handles also the load after the loss of an engine, when all entries repair all
    /// of its runs at the same moment. A repair takes one of several engines with a
    /// probability in proportion to its prefill speed and its free KV cache, and the
    /// work that was sent there before counts as wait.
    ///
    /// The choice is the same for the same state of the generator.
    pub fn choose_path(&self, rng: &mut impl Rng) -> Option<Vec<PathStage>> {
        if self.purpose == PathPurpose::Repair {
            return self.cheapest_by(&REPAIR_PREFERENCE.factors(self.candidates, rng));
        }
        let mut chosen = None;
        for preference in PREFERENCES {
            let preference = preference.scaled_by_use(self.candidates);
            let path = self.cheapest_by(&preference.factors(self.candidates, rng))?;
            if self.meets_targets(&path) {
                return Some(path);
            }
            chosen = Some(path);
        }
        chosen
    }

    /// Returns the path through all layers with the lowest cost, or `None` if no
    /// path has capacity for the request.
    pub fn cheapest_path(&self) -> Option<Vec<PathStage>> {
        self.cheapest_by(&vec![1.0; self.candidates.len()])
    }

    /// The cheapest path if the costs of the candidates' stages are multiplied by
    /// `factors`.
    fn cheapest_by(&self, factors: &[f64]) -> Option<Vec<PathStage>> {
        let limits = if self.transfer_ms() > MAX_TRANSFER_MS {
            [0.0, LONG_TRANSFER_LINK_UTILIZATION]
        } else {
            [MAX_LINK_UTILIZATION, FALLBACK_LINK_UTILIZATION]
        };
        limits.into_iter().find_map(|limit| self.cheapest_within(factors, limit))
    }

    /// The cheapest path over links whose utilization is below a limit. The
    /// program itself can use an engine twice; such an engine is excluded and the
    /// search repeated.
    fn cheapest_within(&self, factors: &[f64], max_link_use: f64) -> Option<Vec<PathStage>> {
        let candidates = self.candidates;
        let costs = Costs::new(self, factors, max_link_use);
        let mut usable: Vec<usize> =
            (0..candidates.len()).filter(|index| self.has_capacity(&candidates[*index])).collect();
        loop {
            let path = PathProgram::new(&costs, &usable).solve()?;
            let Some(repeated) = repeated_candidate(&path) else {
                let stages =
                    path.into_iter().map(|(index, layers)| stage(&candidates[index], layers));
                return Some(stages.collect());
            };
            usable.retain(|index| *index != repeated);
        }
    }

    /// Whether an engine has KV cache for the request, which an engine of the
    /// current path has reserved already.
    fn has_capacity(&self, candidate: &PathCandidate) -> bool {
        let needed = self.demand.prompt_tokens + self.demand.output_tokens;
        let fits =
            candidate.used_tokens + needed <= candidate.capacity_tokens * MAX_CACHE_UTILIZATION;
        fits || self.current_path.iter().any(|stage| stage.id == candidate.id)
    }

    /// Whether an engine may run the layers up to `to` as the first stage.
    pub(super) fn can_be_first(&self, candidate: usize, to: u32) -> bool {
        let id = &self.candidates[candidate].id;
        if let Some(stage) = self.current_path.first() {
            return stage.id == *id && stage.layers.end() == to;
        }
        let has_slot = self.candidates[candidate].free_slots > 0;
        has_slot && (self.allowed_first.is_empty() || self.allowed_first.contains(id))
    }
}

fn stage(candidate: &PathCandidate, layers: LayerRange) -> PathStage {
    PathStage { id: candidate.id.clone(), address: candidate.address, layers }
}

/// The first candidate that occurs twice in a path.
fn repeated_candidate(path: &[(usize, LayerRange)]) -> Option<usize> {
    let repeated = |at: &usize| path[..*at].iter().any(|(index, _)| *index == path[*at].0);
    (0..path.len()).find(repeated).map(|at| path[at].0)
}
