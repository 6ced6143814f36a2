//! Diagnostics for requests for which no path was found.

use std::collections::BTreeMap;
use std::fmt;

use super::{PathCandidate, PathSearch};
use crate::ids::DomainId;

/// A resource that a request needs and a failure domain does not have.
#[derive(Debug, Clone, PartialEq)]
pub struct Shortage {
    /// The failure domain.
    pub domain: DomainId,
    /// What it lacks.
    pub resource: ScarceResource,
}

/// A resource of a failure domain that can run out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ScarceResource {
    /// No usable engine has loaded a layer.
    Holders {
        /// Index of the first such layer.
        layer: u32,
    },
    /// No engine that has loaded layer 0 has a free slot. Only the first stage of a path
    /// needs one.
    FirstSlots {
        /// Number of usable engines in the domain that have loaded layer 0.
        holders: usize,
    },
    /// No engine that has loaded a layer has enough free KV cache.
    Cache {
        /// Index of the layer with the least free KV cache.
        layer: u32,
        /// Number of usable engines in the domain that have loaded the layer.
        holders: usize,
        /// Largest number of free KV cache tokens on any of the `holders`.
        free_tokens: f64,
    },
    /// Nothing by itself: each layer has an engine with a free slot or enough free KV
    /// cache, but none of these engines form a path.
    Path,
}

impl ScarceResource {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Holders { .. } => "holders",
            Self::FirstSlots { .. } => "first-slots",
            Self::Cache { .. } => "cache",
            Self::Path => "path",
        }
    }
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.domain, self.resource.name())?;
        match self.resource {
            ScarceResource::Holders { layer } => write!(f, ",layer={layer}"),
            ScarceResource::FirstSlots { holders } => write!(f, ",holders={holders}"),
            ScarceResource::Cache { layer, holders, free_tokens } => {
                write!(f, ",layer={layer},holders={holders},room={free_tokens:.0}")
            }
            ScarceResource::Path => Ok(()),
        }
    }
}

impl PathSearch<'_> {
    /// Returns what each failure domain that has usable engines lacks to run the request
    /// by itself; at least one shortage for each.
    pub fn shortages(&self) -> Vec<Shortage> {
        let mut domains: BTreeMap<&DomainId, Vec<&PathCandidate>> = BTreeMap::new();
        for candidate in self.candidates {
            domains.entry(&candidate.domain).or_default().push(candidate);
        }
        let of_domain = |(domain, candidates): (&DomainId, Vec<&PathCandidate>)| {
            let domain = domain.clone();
            let resources = self.scarce_resources(&candidates).into_iter();
            resources.map(move |resource| Shortage { domain: domain.clone(), resource })
        };
        domains.into_iter().flat_map(of_domain).collect()
    }

    fn scarce_resources(&self, candidates: &[&PathCandidate]) -> Vec<ScarceResource> {
        let holders = |layer: u32| candidates.iter().filter(move |c| c.layers.contains(layer));
        if let Some(layer) = (0..self.spec.layers).find(|layer| holders(*layer).next().is_none()) {
            return vec![ScarceResource::Holders { layer }];
        }
        let has_first = !self.current_path.is_empty()
            || holders(0).any(|candidate| self.can_be_first(candidate));
        let first =
            (!has_first).then(|| ScarceResource::FirstSlots { holders: holders(0).count() });
        let lacks_cache =
            |layer: &u32| !holders(*layer).any(|candidate| self.has_capacity(candidate));
        let free = |layer: u32| holders(layer).map(|c| c.capacity_tokens - c.used_tokens);
        let cache = |layer: u32| ScarceResource::Cache {
            layer,
            holders: holders(layer).count(),
            free_tokens: free(layer).fold(0.0, f64::max),
        };
        let max_free = |layer: &u32| free(*layer).fold(0.0, f64::max);
        let layers = (0..self.spec.layers).filter(lacks_cache);
        let cache = layers.min_by(|a, b| max_free(a).total_cmp(&max_free(b))).map(cache);
        let found: Vec<ScarceResource> = first.into_iter().chain(cache).collect();
        if found.is_empty() { vec![ScarceResource::Path] } else { found }
    }
}
