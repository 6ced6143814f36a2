//! Random choice between engines and failure domains.

use rand::{Rng, RngExt};

use super::PathCandidate;
use super::space::SearchSpace;

/// Upper bound of the fraction in use by which a preference is scaled.
const MAX_USE: f64 = 0.95;

/// How strongly a choice prefers low costs: the probability of each engine or failure
/// domain is in proportion to its cost to the power of the negated value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Preference {
    /// Between failure domains; infinite to ignore them. Without a choice between
    /// them, nearly all paths are in the domain with the lowest sum of many stages.
    pub(super) domain: f64,
    /// Between engines.
    pub(super) engine: f64,
}

impl Preference {
    /// Makes the preference the stronger, the less of the engines is free: a request
    /// holds KV cache and slots for longer on slow engines, and others then lack them.
    pub(super) fn scaled_by(self, free: FreeShare) -> Self {
        let FreeShare(free) = free;
        Self { domain: self.domain / free, engine: self.engine / free }
    }

    /// Draws a factor for the cost of each of the given candidates, for its failure
    /// domain and for itself.
    pub(super) fn factors(
        self,
        space: &SearchSpace<'_>,
        usable: &[usize],
        rng: &mut impl Rng,
    ) -> Vec<f64> {
        let domains: Vec<f64> = space.domains.iter().map(|_| factor(self.domain, rng)).collect();
        let domain = |index: &usize| domains[space.domain_of[*index]];
        usable.iter().map(|index| domain(index) * factor(self.engine, rng)).collect()
    }
}

/// Fraction of the engines' KV cache, or of the slots of first engines, that is free,
/// whichever is smaller. At least 1 - [`MAX_USE`].
#[derive(Debug, Clone, Copy)]
pub(super) struct FreeShare(f64);

impl FreeShare {
    pub(super) fn of(candidates: &[PathCandidate]) -> Self {
        Self(1.0 - cache_use(candidates).max(slot_use(candidates)).min(MAX_USE))
    }
}

/// Fraction of the engines' KV cache that is in use.
fn cache_use(candidates: &[PathCandidate]) -> f64 {
    let layers = |candidate: &PathCandidate| f64::from(candidate.layers.count());
    let used: f64 = candidates.iter().map(|engine| engine.used_tokens * layers(engine)).sum();
    let size: f64 = candidates.iter().map(|engine| engine.capacity_tokens * layers(engine)).sum();
    used / size.max(1.0)
}

/// Fraction of the slots of the engines that hold the first layer that is in use.
fn slot_use(candidates: &[PathCandidate]) -> f64 {
    let first = || candidates.iter().filter(|engine| engine.layers.contains(0));
    let used: f64 = first().map(|engine| engine.running).sum();
    let free: f64 = first().map(|engine| f64::from(engine.free_slots)).sum();
    used / (used + free).max(1.0)
}

/// Draws a factor by which a cost is multiplied. The lowest product falls on each of
/// several costs with the probability that the preference gives it.
fn factor(preference: f64, rng: &mut impl Rng) -> f64 {
    let exponential = -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
    exponential.powf(1.0 / preference)
}
