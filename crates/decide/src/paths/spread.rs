//! Random choice between engines and failure domains.

use rand::{Rng, RngExt};

use super::PathCandidate;
use super::space::SearchSpace;

/// Upper bound of the fraction of KV cache in use by which a preference is scaled.
const MAX_CACHE_USE: f64 = 0.95;

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
    /// Makes the preference the stronger, the less KV cache is free: a request holds
    /// its KV cache on slow engines for longer, which others then lack.
    pub(super) fn scaled_by_use(self, candidates: &[PathCandidate]) -> Self {
        let mut sums = (0.0, 0.0);
        for candidate in candidates {
            let layers = f64::from(candidate.layers.count());
            sums.0 += candidate.used_tokens * layers;
            sums.1 += candidate.capacity_tokens * layers;
        }
        let free = 1.0 - (sums.0 / f64::max(sums.1, 1.0)).min(MAX_CACHE_USE);
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

/// Draws a factor by which a cost is multiplied. The lowest product falls on each of
/// several costs with the probability that the preference gives it.
fn factor(preference: f64, rng: &mut impl Rng) -> f64 {
    let exponential = -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
    exponential.powf(1.0 / preference)
}
