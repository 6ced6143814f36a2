//! Choice of paths whose engines hold leading parts of the prompt.

use std::str::FromStr;

use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};
use snafu::Snafu;

use super::{EngineCache, PrefixIndex, PromptPrefix};
use crate::fleet::Fleet;
use crate::ids::Tick;
use crate::paths::{ChosenPath, PathCandidate, PathSearch, PathStage};

/// Fraction of an engine's KV cache in use beyond which nothing is expected to be
/// cached there: engines evict cached prompts before they refuse requests.
pub const MAX_CACHE_FILL: f64 = 0.8;

/// Whether requests are sent to engines that hold leading parts of their prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PrefixAffinity {
    /// The saved prefill time counts in the choice of paths.
    #[default]
    On,
    /// Nothing is recorded, and paths are chosen as if nothing were cached.
    Off,
}

/// Error returned for a value other than `on` and `off`.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{value}` is neither `on` nor `off`"))]
pub struct PrefixAffinityError {
    value: String,
}

impl FromStr for PrefixAffinity {
    type Err = PrefixAffinityError;

    fn from_str(text: &str) -> Result<Self, PrefixAffinityError> {
        match text {
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            value => Err(PrefixAffinityError { value: value.into() }),
        }
    }
}

impl PrefixIndex {
    /// Sets what the candidates hold of a prompt. Returns whether any of them holds
    /// something.
    ///
    /// Only engines that are candidates already are considered, so that affinity
    /// never overrides a limit, a drain, a retry delay or a quarantine.
    pub fn mark_cached(
        &self,
        prefix: &PromptPrefix,
        fleet: &Fleet,
        candidates: &mut [PathCandidate],
        now: Tick,
    ) -> bool {
        let is_current = |cache: &EngineCache| {
            let member = fleet.get(&cache.engine);
            member.is_some_and(|member| member.cache_generation() == cache.generation)
        };
        let held = self.held(prefix, is_current, now);
        if held.is_empty() {
            return false;
        }
        let mut found = false;
        for candidate in candidates {
            if candidate.used_tokens > candidate.capacity_tokens * MAX_CACHE_FILL {
                continue;
            }
            if let Some((layers, tokens)) = held.get(&candidate.id) {
                candidate.cached_prompt_tokens = *tokens as f64;
                candidate.cached_layers = Some(*layers);
                found = true;
            }
        }
        found
    }
}

/// A path and what it owes to cached prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedPath {
    /// The path.
    pub path: ChosenPath,
    /// Tokens that are expected not to be prefilled, each weighed with the fraction
    /// of the layers for which that holds.
    pub saved_tokens: f64,
    /// Whether the path would be another one if nothing were cached.
    pub is_displaced: bool,
}

impl PathSearch<'_> {
    /// Chooses a path among candidates some of which hold leading parts of the
    /// prompt, and finds out whether that made a difference.
    ///
    /// Handles requests with a shared prompt while other engines have less load: the
    /// saved prefill time counts like any other part of the cost, so that a request
    /// goes elsewhere if the wait is longer than what is saved.
    pub fn choose_cached_path(&self, rng: &mut impl Rng) -> Option<CachedPath> {
        let seed = rng.random();
        let path = self.choose_path(&mut SmallRng::seed_from_u64(seed))?;
        let saved_tokens = self.saved_tokens(&path.stages);
        if saved_tokens == 0.0 {
            return Some(CachedPath { path, saved_tokens, is_displaced: false });
        }
        let uncached: Vec<PathCandidate> = self.candidates.iter().map(without_cache).collect();
        let search = PathSearch { candidates: &uncached, ..*self };
        let other = search.choose_path(&mut SmallRng::seed_from_u64(seed));
        let is_displaced = other.is_none_or(|other| other.stages != path.stages);
        Some(CachedPath { path, saved_tokens, is_displaced })
    }

    fn saved_tokens(&self, path: &[PathStage]) -> f64 {
        let stages = path.iter().filter_map(|stage| {
            let candidate = self.candidates.iter().find(|candidate| candidate.id == stage.id)?;
            let has_context = self.current_path.contains(stage);
            let tokens = if has_context { 0.0 } else { candidate.cached_tokens(stage.layers) };
            Some(tokens * self.spec.model_fraction(stage.layers.count()))
        });
        stages.fold(0.0, |sum, tokens| sum + tokens).min(self.demand.prompt_tokens)
    }
}

fn without_cache(candidate: &PathCandidate) -> PathCandidate {
    PathCandidate { cached_prompt_tokens: 0.0, cached_layers: None, ..candidate.clone() }
}
