//! Diagnostics for requests for which no path was found.

use std::collections::BTreeMap;
use std::fmt;

use super::PathCandidate;
use crate::ids::DomainId;

/// The layer of a failure domain with the least free KV cache, or without any
/// usable engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Bottleneck {
    /// The failure domain.
    pub domain: DomainId,
    /// Index of the layer.
    pub layer: u32,
    /// Number of usable engines in the domain that have loaded the layer.
    pub holders: usize,
    /// Largest number of free KV cache tokens on any of the `holders`.
    pub free_tokens: f64,
}

impl fmt::Display for Bottleneck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:layer={},holders={},room={:.0}",
            self.domain, self.layer, self.holders, self.free_tokens
        )
    }
}

/// Returns the bottleneck of each failure domain that has usable engines.
pub fn bottlenecks(layers: u32, candidates: &[PathCandidate]) -> Vec<Bottleneck> {
    let mut domains: BTreeMap<&DomainId, Vec<&PathCandidate>> = BTreeMap::new();
    for candidate in candidates {
        domains.entry(&candidate.domain).or_default().push(candidate);
    }
    let bottleneck = |(domain, candidates): (&DomainId, Vec<&PathCandidate>)| {
        let at_layer = |layer: u32| {
            let holders = candidates.iter().filter(|engine| engine.layers.contains(layer));
            let free: Vec<f64> =
                holders.map(|engine| engine.capacity_tokens - engine.used_tokens).collect();
            let free_tokens = free.iter().copied().fold(0.0, f64::max);
            Bottleneck { domain: domain.clone(), layer, holders: free.len(), free_tokens }
        };
        (0..layers).map(at_layer).min_by(|a, b| a.free_tokens.total_cmp(&b.free_tokens))
    };
    domains.into_iter().filter_map(bottleneck).collect()
}
