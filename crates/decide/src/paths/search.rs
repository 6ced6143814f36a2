//! Search for the path of one request.

use clementine_objects::Millis;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::cost::Hops;
use super::program::{PathProgram, StageOption};
use super::space::{SearchSpace, Stage};
use super::spread::{FreeShare, Preference};
use super::{
    BoundExcess, Demand, LinkUsage, PathCandidate, PathPurpose, PathStage, PathTargets, Relaxation,
};
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

/// Fraction of the target gap up to which a long transfer may use links up to
/// [`MAX_LINK_UTILIZATION`] rather than be refused. The tokens of the other requests on
/// the link wait for it, and the rest of their gap is left for their engines. On a busier
/// link, each token of an event waits behind several such transfers.
const MAX_TRANSFER_GAP_SHARE: f64 = 0.5;

/// Number of engines among which a path is looked for first. The engines outside the
/// sample are no loss: other requests get other samples.
const SAMPLE_SIZE: usize = 200;

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

/// A path with what its choice left unmet.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenPath {
    /// Stages in the order of their layers.
    pub stages: Vec<PathStage>,
    /// The engine that exceeds the loss bound most, if any does.
    pub excess: Option<BoundExcess>,
}

impl PathSearch<'_> {
    /// Chooses a path through all layers, or returns `None` if no path has capacity
    /// for the request.
    ///
    /// Handles requests of all entries that see the same engines with views half a
    /// second old, on engines of different speeds. A new request takes slower engines
    /// too, as long as its path meets the targets, so that no engine carries most of
    /// the requests. Engines whose loss could not be repaired within the target gap get
    /// no more requests while there is another path (see [`LossBound`](super::LossBound)).
    ///
    /// Handles also the load after the loss of an engine, when all entries repair all
    /// of its runs at the same moment. A repair takes one of several engines with a
    /// probability in proportion to its prefill speed and its free KV cache, and the
    /// work that was sent there before counts as wait.
    ///
    /// The choice is the same for the same state of the generator.
    pub fn choose_path(&self, rng: &mut impl Rng) -> Option<ChosenPath> {
        let space = SearchSpace::new(self);
        let path = match self.purpose {
            PathPurpose::Repair => space.randomized_path(&space.usable, REPAIR_PREFERENCE, rng),
            PathPurpose::NewRequest => space.bounded_path(rng),
        }?;
        Some(ChosenPath { excess: space.excess(&path), stages: space.path_stages(&path) })
    }

    /// Returns the path through all layers with the lowest cost, or `None` if no
    /// path has capacity for the request.
    pub fn cheapest_path(&self) -> Option<Vec<PathStage>> {
        let space = SearchSpace::new(self);
        let path = space.cheapest_by(&space.usable, &vec![1.0; self.candidates.len()])?;
        Some(space.path_stages(&path))
    }

    /// Limits of the utilization of links between failure domains, in the order in
    /// which they are tried. A failure domain that lacks capacity spills over to others
    /// while the links carry it.
    fn link_limits(&self) -> &'static [f64] {
        let transfer_ms = self.transfer_ms();
        let is_short_for = |gap: Millis| transfer_ms <= gap.0 as f64 * MAX_TRANSFER_GAP_SHARE;
        if transfer_ms <= MAX_TRANSFER_MS {
            &[MAX_LINK_UTILIZATION, FALLBACK_LINK_UTILIZATION]
        } else if self.targets.gap.is_some_and(is_short_for) {
            &[0.0, LONG_TRANSFER_LINK_UTILIZATION, MAX_LINK_UTILIZATION]
        } else {
            &[0.0, LONG_TRANSFER_LINK_UTILIZATION]
        }
    }

    /// Whether an engine has KV cache for the request.
    pub(super) fn has_capacity(&self, candidate: &PathCandidate) -> bool {
        let needed = self.demand.prompt_tokens + self.demand.output_tokens;
        candidate.used_tokens + needed <= candidate.capacity_tokens * MAX_CACHE_UTILIZATION
    }

    /// Whether an engine may run the first stage of a request that does not run yet.
    pub(super) fn can_be_first(&self, candidate: &PathCandidate) -> bool {
        let is_allowed =
            self.allowed_first.is_empty() || self.allowed_first.contains(&candidate.id);
        self.current_path.is_empty() && candidate.free_slots > 0 && is_allowed
    }
}

impl SearchSpace<'_> {
    /// The path of a new request: the strictest relaxation of the loss bound by which
    /// the targets can be met, or by which there is a path at all. Targets take
    /// precedence, because a late request is certain and the loss of an engine is not.
    fn bounded_path(&self, rng: &mut impl Rng) -> Option<Vec<Stage>> {
        let free = FreeShare::of(self.search.candidates);
        let mut chosen = None;
        let mut tried = None;
        for relaxation in Relaxation::ALL {
            let admitted = self.admitted(relaxation);
            if tried.replace(admitted.len()) == Some(admitted.len()) {
                continue;
            }
            match self.spread_path(&admitted, free, rng) {
                Some((path, true)) => return Some(path),
                Some((path, false)) => chosen = chosen.or(Some(path)),
                None => {}
            }
        }
        chosen
    }

    /// Usable candidates within the loss bound.
    fn admitted(&self, relaxation: Relaxation) -> Vec<usize> {
        let Some(bound) = self.bound else { return self.usable.clone() };
        let usable = self.usable.iter().copied();
        usable.filter(|index| bound.admits(relaxation, self.repair_ms[*index])).collect()
    }

    /// The engine of a path that exceeds the loss bound most.
    fn excess(&self, path: &[Stage]) -> Option<BoundExcess> {
        let bound = self.bound?;
        let repair_ms = |index: &usize| self.repair_ms[*index];
        let indices = path.iter().map(|(index, _)| *index);
        let worst = indices.max_by(|a, b| repair_ms(a).total_cmp(&repair_ms(b)))?;
        let is_beyond = bound.relaxation_for(repair_ms(&worst)) > Relaxation::Within;
        is_beyond.then(|| BoundExcess {
            engine: self.search.candidates[worst].id.clone(),
            repair_ms: repair_ms(&worst),
            bound,
        })
    }

    /// A path on some candidates, spread as widely as the targets allow, and whether it
    /// meets them.
    fn spread_path(
        &self,
        usable: &[usize],
        free: FreeShare,
        rng: &mut impl Rng,
    ) -> Option<(Vec<Stage>, bool)> {
        let mut chosen = None;
        for preference in PREFERENCES {
            let path = self.randomized_path(usable, preference.scaled_by(free), rng)?;
            if self.meets_targets(&path) {
                return Some((path, true));
            }
            chosen = Some((path, false));
        }
        chosen
    }

    /// The cheapest path by costs that are multiplied by random factors. Among many
    /// engines, a sample is tried first.
    fn randomized_path(
        &self,
        usable: &[usize],
        preference: Preference,
        rng: &mut impl Rng,
    ) -> Option<Vec<Stage>> {
        if usable.len() > 2 * SAMPLE_SIZE {
            let sample: Vec<usize> = usable.iter().copied().sample(rng, SAMPLE_SIZE);
            let path = self.cheapest_by(&sample, &preference.factors(self, &sample, rng));
            if path.is_some() {
                return path;
            }
        }
        self.cheapest_by(usable, &preference.factors(self, usable, rng))
    }

    /// The cheapest path on some candidates whose costs are multiplied by `factors`.
    fn cheapest_by(&self, usable: &[usize], factors: &[f64]) -> Option<Vec<Stage>> {
        let options = self.stage_options(usable, factors);
        let mut limits = self.search.link_limits().iter();
        limits.find_map(|limit| self.cheapest_within(&options, *limit))
    }

    /// The cheapest path over links whose utilization is below a limit.
    fn cheapest_within(&self, options: &[StageOption], max_link_use: f64) -> Option<Vec<Stage>> {
        let hops = Hops::new(self, max_link_use);
        let path = PathProgram::new(options, &hops, self.search.spec.layers).solve()?;
        let path = path.into_iter().map(|(option, layers)| (options[option].candidate, layers));
        Some(path.collect())
    }

    fn path_stages(&self, path: &[Stage]) -> Vec<PathStage> {
        let stages = path.iter().map(|(index, layers)| {
            let candidate = &self.search.candidates[*index];
            PathStage { id: candidate.id.clone(), address: candidate.address, layers: *layers }
        });
        stages.collect()
    }
}
