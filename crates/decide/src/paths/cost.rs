//! Cost of the stages and hops of a path.

use clementine_objects::LayerRange;

use super::queue::{Queues, step_ms};
use super::{Demand, Link, PathCandidate, PathPurpose, PathSearch};
use crate::fleet::EngineSpec;
use crate::ids::DomainId;

/// One-way network latency between two engines of a failure domain, in ms.
const INTRA_DOMAIN_DELAY_MS: f64 = 0.2;
/// Weight of the squared KV cache utilization in the cost of a stage: a full
/// cache adds this multiple of the stage's time.
const CACHE_UTILIZATION_WEIGHT: f64 = 3.0;
/// Weight of the wait at an engine or on a link between failure domains: a request
/// waits for others, and others wait for it as long.
const SHARED_WAIT_WEIGHT: f64 = 2.0;
/// Lower bound of the fraction of free KV cache that weighs an engine in a repair.
const MIN_FREE_CACHE: f64 = 0.02;
/// Largest number of tokens in one event. A pause ends when all of them are
/// generated.
pub(super) const EVENT_TOKENS: f64 = 4.0;

/// Cost of a stage as a linear function of its number of layers.
#[derive(Debug, Clone, Copy)]
struct StageCost {
    fixed: f64,
    per_layer: f64,
    /// Part of `per_layer` that is saved in layers with cached prompt tokens.
    saved_per_layer: f64,
}

/// Costs of one search.
///
/// The cost of a new request's path is its expected processing time and what it adds
/// to the times of the requests that run on its engines. That of a repair is the expected pause of the stream, at engines and links to which all
/// other entries send as many repairs as this one.
#[derive(Debug)]
pub(super) struct Costs<'a> {
    search: &'a PathSearch<'a>,
    /// Failure domains that have candidates.
    domains: Vec<&'a DomainId>,
    /// Index in `domains` by candidate.
    domain_of: Vec<usize>,
    /// Cost of a stage that has to prefill the request's context, by candidate.
    stages: Vec<StageCost>,
    /// Cost of a hop that the request's context has to take, by pair of domains;
    /// `None` if the link is used up to the limit.
    hops: Vec<Option<f64>>,
}

impl<'a> Costs<'a> {
    /// Computes the costs. `factors` multiply the costs of the candidates' stages.
    pub(super) fn new(search: &'a PathSearch<'a>, factors: &[f64], max_link_use: f64) -> Self {
        let mut domains: Vec<&DomainId> = Vec::new();
        let domain_of = search.candidates.iter().map(|candidate| {
            domains.iter().position(|known| **known == candidate.domain).unwrap_or_else(|| {
                domains.push(&candidate.domain);
                domains.len() - 1
            })
        });
        let domain_of = domain_of.collect();
        let queues = Queues::new(search.spec, search.candidates);
        let stages = search.candidates.iter().zip(factors);
        let stages = stages.map(|(candidate, factor)| {
            search.stage_cost(candidate, queues.wait_ms(candidate), *factor)
        });
        let pairs = domains.iter().flat_map(|a| domains.iter().map(move |b| (*a, *b)));
        Self {
            search,
            stages: stages.collect(),
            hops: pairs.map(|(a, b)| search.hop_cost(a, b, max_link_use)).collect(),
            domains,
            domain_of,
        }
    }

    pub(super) const fn search(&self) -> &'a PathSearch<'a> {
        self.search
    }

    /// Number of failure domains.
    pub(super) const fn domain_count(&self) -> usize {
        self.domains.len()
    }

    /// Index of a candidate's failure domain.
    pub(super) fn domain(&self, candidate: usize) -> usize {
        self.domain_of[candidate]
    }

    /// Cost of layers `from..to` on a candidate.
    pub(super) fn stage(&self, candidate: usize, from: u32, to: u32) -> f64 {
        let layers = to - from;
        let engine = &self.search.candidates[candidate];
        if self.search.has_cached_context(engine, from, to) {
            return self.search.decode_cost(engine) * self.search.spec.model_fraction(layers);
        }
        let cost = self.stages[candidate];
        let range = LayerRange::half_open(from, to);
        let is_cached = range.is_some_and(|range| engine.cached_tokens(range) > 0.0);
        let saved = if is_cached { cost.saved_per_layer } else { 0.0 };
        cost.fixed + (cost.per_layer - saved) * f64::from(layers)
    }

    /// Cost of a hop, or `None` if the link can't be used.
    pub(super) fn hop(&self, from: usize, to: usize) -> Option<f64> {
        let hop = self.hops[self.domain_of[from] * self.domains.len() + self.domain_of[to]];
        if self.search.purpose == PathPurpose::Repair && self.search.runs_on(to) {
            // Only new tokens go to an engine that has the context.
            let candidates = self.search.candidates;
            let (a, b) = (&candidates[from].domain, &candidates[to].domain);
            return hop.map(|_| EVENT_TOKENS * self.search.delay_ms(a, b));
        }
        hop
    }
}

impl PathSearch<'_> {
    /// Time in ms that an engine needs to prefill the whole request in `layers`
    /// layers.
    pub(super) fn prefill_ms(&self, candidate: &PathCandidate, layers: u32) -> f64 {
        let tokens = self.demand.prompt_tokens;
        tokens * candidate.prefill_ms_per_token * self.spec.model_fraction(layers)
    }

    /// Part of the prefill time in ms that an engine saves because it has the KV
    /// cache of leading prompt tokens.
    pub(super) fn saved_ms(&self, candidate: &PathCandidate, layers: LayerRange) -> f64 {
        self.saved_fraction(candidate.cached_tokens(layers))
            * self.prefill_ms(candidate, layers.count())
    }

    fn saved_fraction(&self, cached_tokens: f64) -> f64 {
        (cached_tokens / self.demand.prompt_tokens.max(1.0)).min(1.0)
    }

    /// Whether an engine already has the request's KV cache for exactly these
    /// layers.
    pub(super) fn has_cached_context(&self, candidate: &PathCandidate, from: u32, to: u32) -> bool {
        self.current_path.iter().any(|stage| {
            stage.layers.first() == from && stage.layers.end() == to && stage.id == candidate.id
        })
    }

    /// Whether the request is running on a candidate.
    fn runs_on(&self, candidate: usize) -> bool {
        let id = &self.candidates[candidate].id;
        self.current_path.iter().any(|stage| stage.id == *id)
    }

    /// Factor by which the costs of a stage grow with the use of the KV cache.
    fn cache_factor(candidate: &PathCandidate) -> f64 {
        let utilization = candidate.used_tokens / candidate.capacity_tokens.max(1.0);
        1.0 + CACHE_UTILIZATION_WEIGHT * utilization * utilization
    }

    /// Cost of the decode phase in all layers of the model on an engine. A new
    /// request makes each step of the requests that run there longer.
    fn decode_cost(&self, candidate: &PathCandidate) -> f64 {
        let step = step_ms(candidate);
        match self.purpose {
            PathPurpose::NewRequest => {
                let added = candidate.running * candidate.step_ms_per_request;
                self.demand.output_tokens * (step + added)
            }
            PathPurpose::Repair => EVENT_TOKENS * step,
        }
    }

    /// Cost of a stage that has to prefill the request's context. `wait_ms` is the
    /// expected wait for the prefills of other requests.
    fn stage_cost(&self, candidate: &PathCandidate, wait_ms: f64, factor: f64) -> StageCost {
        let prefill = self.prefill_ms(candidate, 1);
        let saved = self.saved_fraction(candidate.cached_prompt_tokens) * prefill;
        let decode = self.decode_cost(candidate) * self.spec.model_fraction(1);
        match self.purpose {
            PathPurpose::NewRequest => {
                // Each step waits, and the others wait for this request's prefill as
                // long.
                let waits = wait_ms * (1.0 + self.demand.output_tokens) * SHARED_WAIT_WEIGHT;
                let weight = factor * Self::cache_factor(candidate);
                StageCost {
                    fixed: (candidate.prefill_backlog_ms + waits) * weight,
                    per_layer: (prefill + decode) * weight,
                    saved_per_layer: saved * weight,
                }
            }
            PathPurpose::Repair => {
                let used = candidate.used_tokens / candidate.capacity_tokens.max(1.0);
                let weight = factor / (1.0 - used).max(MIN_FREE_CACHE);
                StageCost {
                    fixed: (candidate.prefill_backlog_ms + wait_ms) * weight,
                    per_layer: self.repair_load() * prefill * weight + decode,
                    // The repairs of others have other prompts.
                    saved_per_layer: saved * weight,
                }
            }
        }
    }

    /// Number of repairs that all entries send when this one sends one. The runs of
    /// a lost engine are spread over all entries.
    pub(super) fn repair_load(&self) -> f64 {
        f64::from(self.entries.max(1))
    }

    /// Cost of a hop that the request's context takes from one failure domain to
    /// another, or `None` if the link is utilized up to the limit.
    fn hop_cost(&self, a: &DomainId, b: &DomainId, max_link_use: f64) -> Option<f64> {
        let tokens = match self.purpose {
            PathPurpose::NewRequest => self.demand.output_tokens,
            PathPurpose::Repair => EVENT_TOKENS,
        };
        if a == b {
            return Some(tokens * INTRA_DOMAIN_DELAY_MS);
        }
        let link = Link::between(a, b);
        let utilization = self.links.total(&link, self.now) / self.link_bytes_per_ms();
        if utilization >= max_link_use {
            return None;
        }
        let transfer = self.transfer_ms() / (1.0 - utilization);
        let wait = self.link_wait_ms(utilization) * SHARED_WAIT_WEIGHT;
        let context = match self.purpose {
            PathPurpose::NewRequest => transfer,
            PathPurpose::Repair => {
                self.links.repair_backlog_ms(&link, self.now) + transfer * self.repair_load()
            }
        };
        Some(context + tokens * (self.delay_ms(a, b) + wait))
    }

    fn link_bytes_per_ms(&self) -> f64 {
        self.spec.domain_link_bytes_per_ms.max(1.0)
    }

    /// Time in ms that the request's activations occupy a link between failure
    /// domains.
    pub(super) fn transfer_ms(&self) -> f64 {
        transfer_bytes(self.spec, self.demand) / self.link_bytes_per_ms()
    }

    /// One-way network latency between engines of two failure domains, in ms.
    pub(super) fn delay_ms(&self, a: &DomainId, b: &DomainId) -> f64 {
        let between = if a == b { 0.0 } else { self.spec.delay_ms(a, b) };
        between.max(INTRA_DOMAIN_DELAY_MS)
    }

    /// Expected time in ms for which a token waits on a link between failure
    /// domains, behind the prompts of other requests. A link carries one transfer
    /// after another.
    fn link_wait_ms(&self, utilization: f64) -> f64 {
        let prompt_bytes = f64::from(self.spec.typical_prompt_tokens) * self.spec.activation_bytes;
        let prompt_ms = prompt_bytes / self.link_bytes_per_ms();
        prompt_ms * utilization / (2.0 * (1.0 - utilization))
    }
}

/// Total size of the activations that a request sends from one stage to the
/// next, in bytes.
pub fn transfer_bytes(spec: &EngineSpec, demand: Demand) -> f64 {
    (demand.prompt_tokens + demand.output_tokens) * spec.activation_bytes
}
