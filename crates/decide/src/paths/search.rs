//! Search for the path with the shortest expected processing time.

use clementine_objects::LayerRange;

use super::{Demand, Link, LinkUsage, PathCandidate, PathStage};
use crate::fleet::EngineSpec;
use crate::ids::{BackendId, Tick};

/// Expected wait at a stage for the current batch step to finish, as a fraction
/// of a step.
const STEP_WAIT: f64 = 0.5;
/// One-way network latency between two engines of a failure domain, in ms.
const INTRA_DOMAIN_DELAY_MS: f64 = 0.2;
/// Weight of the squared KV cache utilization in the cost of a stage: a full
/// cache adds this multiple of the stage's time.
const CACHE_UTILIZATION_WEIGHT: f64 = 3.0;
/// Fraction of an engine's KV cache that requests may reserve.
const MAX_CACHE_UTILIZATION: f64 = 0.95;

/// Link utilization above which paths avoid a link between failure domains. The
/// headroom covers links that are slower than specified and traffic that other
/// entries have not reported yet.
const MAX_LINK_UTILIZATION: f64 = 0.25;
/// Limit of the link utilization if no path stays below
/// [`MAX_LINK_UTILIZATION`].
const FALLBACK_LINK_UTILIZATION: f64 = 0.6;

/// Weight of the wait on a link between failure domains: a request waits for
/// others, and others wait for it as long.
const SHARED_WAIT_WEIGHT: f64 = 2.0;

/// Transfer time between failure domains above which a request stays within one
/// domain if any has capacity, in ms. A long transfer delays the tokens of all
/// other requests on the link.
const MAX_TRANSFER_MS: f64 = 30.0;

/// Limit of the link utilization for requests whose transfer takes longer than
/// [`MAX_TRANSFER_MS`], if no single domain has capacity.
const LONG_TRANSFER_LINK_UTILIZATION: f64 = 0.1;

/// The last stage of a partial path that covers all layers before a boundary.
#[derive(Debug, Clone, Copy)]
struct PartialPath {
    /// Expected time of the whole partial path, in ms.
    cost: f64,
    /// Index of the candidate that runs the last stage.
    candidate: usize,
    /// First layer of the last stage.
    first_layer: u32,
    /// Index of the preceding partial path among those that end at
    /// `first_layer`; `None` for the first stage.
    predecessor: Option<usize>,
}

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
    /// Returns the path through all layers with the shortest expected processing
    /// time, or `None` if no path has capacity for the request.
    ///
    /// The search is a dynamic program over the layers at which the range of an
    /// engine begins or ends. It keeps the cheapest partial path per layer and
    /// failure domain, because the cost of the next hop depends on the domain.
    pub fn cheapest_path(&self) -> Option<Vec<PathStage>> {
        let transfer_ms =
            transfer_bytes(self.spec, self.demand) / self.spec.domain_link_bytes_per_ms.max(1.0);
        let limits = if transfer_ms > MAX_TRANSFER_MS {
            [0.0, LONG_TRANSFER_LINK_UTILIZATION]
        } else {
            [MAX_LINK_UTILIZATION, FALLBACK_LINK_UTILIZATION]
        };
        limits.into_iter().find_map(|limit| self.cheapest_within(limit))
    }

    /// The cheapest path over links whose utilization is below a limit. The
    /// search itself can use an engine twice; such an engine is excluded and the
    /// search repeated.
    fn cheapest_within(&self, max_link_utilization: f64) -> Option<Vec<PathStage>> {
        let candidates = self.candidates;
        let mut usable: Vec<usize> =
            (0..candidates.len()).filter(|index| self.has_capacity(&candidates[*index])).collect();
        loop {
            let path = self.search(&usable, max_link_utilization)?;
            let Some(repeated) = repeated_candidate(&path) else {
                let stages =
                    path.into_iter().map(|(index, layers)| stage(&candidates[index], layers));
                return Some(stages.collect());
            };
            usable.retain(|index| *index != repeated);
        }
    }

    fn search(
        &self,
        usable: &[usize],
        max_link_utilization: f64,
    ) -> Option<Vec<(usize, LayerRange)>> {
        let layers = self.spec.layers;
        let boundaries = self.boundaries(usable);
        // Partial paths by the layer before which they end.
        let mut partial: Vec<Vec<PartialPath>> = vec![Vec::new(); layers as usize + 1];
        for (index, &from) in boundaries.iter().enumerate() {
            if from > 0 && partial[from as usize].is_empty() {
                continue;
            }
            for &candidate in usable {
                let range = self.candidates[candidate].layers;
                if !range.contains(from) {
                    continue;
                }
                let predecessor = self.cheapest_predecessor(
                    &partial[from as usize],
                    from,
                    candidate,
                    max_link_utilization,
                );
                let Some((predecessor, cost)) = predecessor else { continue };
                for &to in boundaries[index + 1..].iter().take_while(|to| **to <= range.end()) {
                    if from == 0 && !self.can_be_first(candidate, to) {
                        continue;
                    }
                    let cost = cost + self.stage_ms(&self.candidates[candidate], from, to);
                    insert_if_cheaper(
                        self.candidates,
                        &mut partial[to as usize],
                        PartialPath { cost, candidate, first_layer: from, predecessor },
                    );
                }
            }
        }
        reconstruct_path(layers, &partial)
    }

    /// Whether an engine has KV cache for the request, which an engine of the
    /// current path has reserved already.
    fn has_capacity(&self, candidate: &PathCandidate) -> bool {
        let needed = self.demand.prompt_tokens + self.demand.output_tokens;
        let fits =
            candidate.used_tokens + needed <= candidate.capacity_tokens * MAX_CACHE_UTILIZATION;
        fits || self.current_path.iter().any(|stage| stage.id == candidate.id)
    }

    /// Layers at which one stage may end and the next one begin, in ascending
    /// order.
    fn boundaries(&self, usable: &[usize]) -> Vec<u32> {
        let loaded = usable.iter().map(|index| self.candidates[*index].layers);
        let current = self.current_path.iter().map(|stage| stage.layers);
        let ranges = loaded.chain(current);
        let mut boundaries: Vec<u32> =
            ranges.flat_map(|range| [range.first(), range.end()]).collect();
        boundaries.extend([0, self.spec.layers]);
        boundaries.retain(|layer| *layer <= self.spec.layers);
        boundaries.sort_unstable();
        boundaries.dedup();
        boundaries
    }

    /// Whether an engine already has the request's KV cache for exactly these
    /// layers.
    fn has_cached_context(&self, candidate: &PathCandidate, from: u32, to: u32) -> bool {
        let unchanged = |stage: &PathStage| {
            stage.id == candidate.id && stage.layers.first() == from && stage.layers.end() == to
        };
        self.current_path.iter().any(unchanged)
    }

    /// Whether an engine may run the layers up to `to` as the first stage.
    fn can_be_first(&self, candidate: usize, to: u32) -> bool {
        let id = &self.candidates[candidate].id;
        if let Some(stage) = self.current_path.first() {
            return stage.id == *id && stage.layers.end() == to;
        }
        let has_slot = self.candidates[candidate].free_slots > 0;
        has_slot && (self.allowed_first.is_empty() || self.allowed_first.contains(id))
    }

    /// The cheapest partial path that a stage on `candidate` can continue: its
    /// index, and its cost including the hop. The index is `None` for the first
    /// stage.
    fn cheapest_predecessor(
        &self,
        partial: &[PartialPath],
        from: u32,
        candidate: usize,
        max_link_utilization: f64,
    ) -> Option<(Option<usize>, f64)> {
        if from == 0 {
            return Some((None, 0.0));
        }
        let others = partial.iter().enumerate().filter(|(_, path)| path.candidate != candidate);
        let costs = others.filter_map(|(index, path)| {
            let hop = self.hop_ms(
                &self.candidates[path.candidate],
                &self.candidates[candidate],
                max_link_utilization,
            )?;
            Some((Some(index), path.cost + hop))
        });
        costs.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Expected processing time of the request in layers `from..to` on an engine,
    /// in ms.
    fn stage_ms(&self, candidate: &PathCandidate, from: u32, to: u32) -> f64 {
        let fraction = self.spec.model_fraction(to - from);
        let cached = self.has_cached_context(candidate, from, to);
        let prefill_tokens = if cached { 0.0 } else { self.demand.prompt_tokens };
        let prefill = prefill_tokens * candidate.prefill_ms_per_token * fraction;
        let decode = self.demand.output_tokens * candidate.step_ms * fraction * (1.0 + STEP_WAIT);
        let utilization = candidate.used_tokens / candidate.capacity_tokens.max(1.0);
        (prefill + decode) * (1.0 + CACHE_UTILIZATION_WEIGHT * utilization * utilization)
    }

    /// Expected network time of the request between two engines in ms, or `None`
    /// if the link is utilized up to the limit.
    fn hop_ms(
        &self,
        a: &PathCandidate,
        b: &PathCandidate,
        max_link_utilization: f64,
    ) -> Option<f64> {
        let output_tokens = self.demand.output_tokens;
        if a.domain == b.domain {
            return Some(output_tokens * INTRA_DOMAIN_DELAY_MS);
        }
        let bandwidth = self.spec.domain_link_bytes_per_ms.max(1.0);
        let utilization =
            self.links.total(&Link::between(&a.domain, &b.domain), self.now) / bandwidth;
        if utilization >= max_link_utilization {
            return None;
        }
        let transfer = transfer_bytes(self.spec, self.demand) / bandwidth / (1.0 - utilization);
        let delay = self.spec.delay_ms(&a.domain, &b.domain).max(INTRA_DOMAIN_DELAY_MS);
        let wait = self.link_wait_ms(utilization) * SHARED_WAIT_WEIGHT;
        Some(transfer + output_tokens * (delay + wait))
    }

    /// Expected time in ms for which a token waits on a link between failure
    /// domains, behind the prompts of other requests. A link carries one transfer
    /// after another.
    fn link_wait_ms(&self, utilization: f64) -> f64 {
        let prompt_bytes = f64::from(self.spec.typical_prompt_tokens) * self.spec.activation_bytes;
        let prompt_ms = prompt_bytes / self.spec.domain_link_bytes_per_ms.max(1.0);
        prompt_ms * utilization / (2.0 * (1.0 - utilization))
    }
}

/// Total size of the activations that a request sends from one stage to the
/// next, in bytes.
pub fn transfer_bytes(spec: &EngineSpec, demand: Demand) -> f64 {
    (demand.prompt_tokens + demand.output_tokens) * spec.activation_bytes
}

fn stage(candidate: &PathCandidate, layers: LayerRange) -> PathStage {
    PathStage { id: candidate.id.clone(), address: candidate.address, layers }
}

/// The first candidate that occurs twice in a path.
fn repeated_candidate(path: &[(usize, LayerRange)]) -> Option<usize> {
    let repeated = |at: &usize| path[..*at].iter().any(|(index, _)| *index == path[*at].0);
    (0..path.len()).find(repeated).map(|at| path[at].0)
}

/// Inserts a partial path unless one that ends in the same failure domain is at
/// least as cheap; a more expensive one is replaced.
fn insert_if_cheaper(
    candidates: &[PathCandidate],
    partial: &mut Vec<PartialPath>,
    new: PartialPath,
) {
    let domain = &candidates[new.candidate].domain;
    match partial.iter_mut().find(|path| candidates[path.candidate].domain == *domain) {
        Some(path) if path.cost <= new.cost => {}
        Some(path) => *path = new,
        None => partial.push(new),
    }
}

/// Follows the predecessors back from the cheapest complete path.
fn reconstruct_path(layers: u32, partial: &[Vec<PartialPath>]) -> Option<Vec<(usize, LayerRange)>> {
    let mut end = layers;
    let best = partial[end as usize].iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
    let mut last = *best?;
    let mut path = Vec::new();
    loop {
        path.push((last.candidate, LayerRange::half_open(last.first_layer, end)?));
        let Some(predecessor) = last.predecessor else { break };
        end = last.first_layer;
        last = partial[end as usize][predecessor];
    }
    path.reverse();
    Some(path)
}
