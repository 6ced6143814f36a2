//! Why no path was found, for the log.

use std::collections::BTreeMap;
use std::fmt;

use super::PathCandidate;
use crate::ids::DomainId;

/// The layer of a failure domain that binds: one that no usable engine holds,
/// or the one with the least room.
#[derive(Debug, Clone, PartialEq)]
pub struct Bottleneck {
    /// The failure domain.
    pub domain: DomainId,
    /// The layer.
    pub layer: u32,
    /// Usable engines of the domain that hold it.
    pub holders: usize,
    /// Tokens of context for which the roomiest of them has room.
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

/// What binds in each failure domain.
pub fn bottlenecks(layers: u32, stops: &[PathCandidate]) -> Vec<Bottleneck> {
    let mut domains: BTreeMap<&DomainId, Vec<&PathCandidate>> = BTreeMap::new();
    for stop in stops {
        domains.entry(&stop.domain).or_default().push(stop);
    }
    let binding = |(domain, stops): (&DomainId, Vec<&PathCandidate>)| {
        let at = |layer: u32| {
            let holding = stops.iter().filter(|stop| stop.layers.contains(layer));
            let rooms: Vec<f64> =
                holding.map(|stop| stop.capacity_tokens - stop.used_tokens).collect();
            let free_tokens = rooms.iter().copied().fold(0.0, f64::max);
            Bottleneck { domain: domain.clone(), layer, holders: rooms.len(), free_tokens }
        };
        (0..layers).map(at).min_by(|a, b| a.free_tokens.total_cmp(&b.free_tokens))
    };
    domains.into_iter().filter_map(binding).collect()
}
