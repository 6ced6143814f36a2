//! Cost of the stages and hops of a path.
//!
//! The cost of a new request's path is its expected processing time and what it adds
//! to the times of the requests that run on its engines. That of a repair is the
//! expected pause of the stream, at engines and links to which all other entries send
//! as many repairs as this one.

use clementine_objects::LayerRange;

use super::program::StageOption;
use super::queue::step_ms;
use super::space::SearchSpace;
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

/// Costs of the hops between failure domains.
#[derive(Debug)]
pub(super) struct Hops {
    domains: usize,
    /// Costs by the domain to which and the domain from which the hop goes, to a stage
    /// that needs the request's context. Infinite if the link is used up to the limit.
    to_new: Vec<f64>,
    /// Likewise to a stage that has the context.
    to_current: Vec<f64>,
}

impl Hops {
    pub(super) fn new(space: &SearchSpace<'_>, max_link_use: f64) -> Self {
        let domains = &space.domains;
        // Hops cost the same in both directions.
        let pairs = domains.iter().flat_map(|a| domains.iter().map(move |b| (*a, *b)));
        let costs = pairs.map(|(a, b)| space.search.hop_costs(a, b, max_link_use));
        let (to_new, to_current) = costs.map(|[new, current]| (new, current)).unzip();
        Self { domains: domains.len(), to_new, to_current }
    }

    /// Number of failure domains.
    pub(super) const fn domain_count(&self) -> usize {
        self.domains
    }

    /// Costs of the hops to a domain, by the domain from which they go.
    pub(super) fn costs_to(&self, domain: usize, has_context: bool) -> &[f64] {
        let costs = if has_context { &self.to_current } else { &self.to_new };
        &costs[domain * self.domains..][..self.domains]
    }
}

impl SearchSpace<'_> {
    /// The ways to use the given candidates as stages. `factors` multiply their costs, in
    /// the same order.
    pub(super) fn stage_options(&self, usable: &[usize], factors: &[f64]) -> Vec<StageOption> {
        let current = self.current.iter().map(|(candidate, layers)| StageOption {
            layers: *layers,
            has_context: true,
            can_be_first: layers.first() == 0,
            fixed: 0.0,
            per_layer: self.search.decode_cost(&self.search.candidates[*candidate]),
            ..self.stage_option(*candidate, 1.0)
        });
        let mut options: Vec<StageOption> = current.collect();
        let new_from = options.len();
        let new = usable.iter().zip(factors);
        options.extend(new.map(|(index, factor)| self.stage_option(*index, *factor)));
        let new = options[new_from..].iter().zip(factors);
        let cached = new.filter_map(|(option, factor)| self.cached_option(option, *factor));
        let cached: Vec<StageOption> = cached.collect();
        options.extend(cached);
        options
    }

    /// A stage in the layers for which the engine has the KV cache of leading prompt
    /// tokens, which it need not prefill. `None` if it has none. `option` is the stage
    /// without that cache.
    fn cached_option(&self, option: &StageOption, factor: f64) -> Option<StageOption> {
        let candidate = &self.search.candidates[option.candidate];
        let layers = candidate.cached_layers.filter(|_| candidate.cached_prompt_tokens > 0.0)?;
        let first = layers.first().max(option.layers.first());
        let layers = LayerRange::half_open(first, layers.end().min(option.layers.end()))?;
        let saved = self.search.saved_ms(candidate, layers) / f64::from(layers.count());
        let per_layer = option.per_layer - saved * self.stage_weight(candidate, factor);
        let can_be_first = option.can_be_first && layers.first() == 0;
        Some(StageOption { layers, can_be_first, per_layer, ..*option })
    }

    /// Factor by which the times of a stage are multiplied.
    fn stage_weight(&self, candidate: &PathCandidate, factor: f64) -> f64 {
        match self.search.purpose {
            PathPurpose::NewRequest => factor * cache_factor(candidate),
            PathPurpose::Repair => {
                let used = candidate.used_tokens / candidate.capacity_tokens.max(1.0);
                factor / (1.0 - used).max(MIN_FREE_CACHE)
            }
        }
    }

    /// Expected time of the prefills after the loss of a candidate, up to the bound, or
    /// 0 if there is no bound.
    fn expected_repair_ms(&self, index: usize) -> f64 {
        let max_repair = self.bound.map_or(0.0, |bound| bound.max_repair().0 as f64);
        self.repair_ms.get(index).map_or(0.0, |ms| ms.min(max_repair))
    }

    /// A stage that has to prefill the request's context.
    fn stage_option(&self, index: usize, factor: f64) -> StageOption {
        let search = self.search;
        let candidate = &search.candidates[index];
        let (prefill, decode) = (search.prefill_ms(candidate, 1), search.decode_cost(candidate));
        let (backlog, wait) = (candidate.prefill_backlog_ms, self.waits_ms[index]);
        let weight = self.stage_weight(candidate, factor);
        let (fixed, per_layer) = match search.purpose {
            PathPurpose::NewRequest => {
                // Each step waits, and the others wait for this request's prefill as
                // long.
                let waits = wait * (1.0 + search.demand.output_tokens) * SHARED_WAIT_WEIGHT;
                let repair = self.expected_repair_ms(index);
                ((backlog + waits + repair) * weight, (prefill + decode) * weight)
            }
            PathPurpose::Repair => {
                ((backlog + wait) * weight, search.repair_load() * prefill * weight + decode)
            }
        };
        StageOption {
            candidate: index,
            domain: self.domain_of[index],
            layers: candidate.layers,
            has_context: false,
            can_be_first: search.can_be_first(candidate),
            fixed,
            per_layer,
        }
    }
}

/// Factor by which the costs of a stage grow with the use of the KV cache.
fn cache_factor(candidate: &PathCandidate) -> f64 {
    let utilization = candidate.used_tokens / candidate.capacity_tokens.max(1.0);
    1.0 + CACHE_UTILIZATION_WEIGHT * utilization * utilization
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
        let cached = candidate.cached_tokens(layers) / self.demand.prompt_tokens.max(1.0);
        cached.min(1.0) * self.prefill_ms(candidate, layers.count())
    }

    /// Cost of the decode phase in one layer on an engine. A new request makes each
    /// step of the requests that run there longer.
    fn decode_cost(&self, candidate: &PathCandidate) -> f64 {
        let step = step_ms(candidate);
        let cost = match self.purpose {
            PathPurpose::NewRequest => {
                let added = candidate.running * candidate.step_ms_per_request;
                self.demand.output_tokens * (step + added)
            }
            PathPurpose::Repair => EVENT_TOKENS * step,
        };
        cost * self.spec.model_fraction(1)
    }

    /// Number of repairs that all entries send when this one sends one. The runs of
    /// a lost engine are spread over all entries.
    pub(super) fn repair_load(&self) -> f64 {
        f64::from(self.entries.max(1))
    }

    /// Costs of a hop from one failure domain to another, to a stage that needs the
    /// request's context and to one that has it. Infinite if the link is utilized up
    /// to the limit.
    fn hop_costs(&self, a: &DomainId, b: &DomainId, max_link_use: f64) -> [f64; 2] {
        let tokens = match self.purpose {
            PathPurpose::NewRequest => self.demand.output_tokens,
            PathPurpose::Repair => EVENT_TOKENS,
        };
        if a == b {
            return [tokens * INTRA_DOMAIN_DELAY_MS; 2];
        }
        let link = Link::between(a, b);
        let utilization = self.links.total(&link, self.now) / self.link_bytes_per_ms();
        if utilization >= max_link_use {
            return [f64::INFINITY; 2];
        }
        let transfer = self.transfer_ms() / (1.0 - utilization);
        let wait = self.link_wait_ms(utilization) * SHARED_WAIT_WEIGHT;
        let steps = tokens * (self.delay_ms(a, b) + wait);
        let context = match self.purpose {
            PathPurpose::NewRequest => transfer,
            PathPurpose::Repair => {
                self.links.repair_backlog_ms(&link, self.now) + transfer * self.repair_load()
            }
        };
        [context + steps, steps]
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
