//! Diagnostics for requests for which no path was found.

use std::collections::BTreeMap;
use std::fmt;

use super::bound::held;
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

/// What the usable engines of a failure domain have left in one layer.
#[derive(Debug, Clone, Copy, Default)]
struct LayerRoom {
    /// Number of engines that have loaded the layer.
    holders: usize,
    /// Largest number of free KV cache tokens on any of them.
    free_tokens: f64,
    /// Whether one of them has KV cache for the request.
    has_capacity: bool,
}

impl PathSearch<'_> {
    /// Returns what each failure domain that has usable engines lacks to run the request
    /// by itself; at least one shortage for each.
    ///
    /// The time is in proportion to the sum of the candidates' layers.
    pub fn shortages(&self) -> Vec<Shortage> {
        let mut domains: BTreeMap<&DomainId, Vec<&PathCandidate>> = BTreeMap::new();
        for candidate in self.candidates {
            domains.entry(&candidate.domain).or_default().push(candidate);
        }
        let mut shortages = Vec::new();
        for (domain, candidates) in domains {
            let resources = self.scarce_resources(&candidates).into_iter();
            shortages
                .extend(resources.map(|resource| Shortage { domain: domain.clone(), resource }));
        }
        shortages
    }

    fn scarce_resources(&self, candidates: &[&PathCandidate]) -> Vec<ScarceResource> {
        let layers = self.room_by_layer(candidates);
        if let Some(layer) = layers.iter().position(|room| room.holders == 0) {
            return vec![ScarceResource::Holders { layer: layer as u32 }];
        }
        let slots = self.lacks_first_slot(candidates).then(|| ScarceResource::FirstSlots {
            holders: layers.first().map_or(0, |room| room.holders),
        });
        let full = layers.iter().enumerate().filter(|(_, room)| !room.has_capacity);
        let least = full.min_by(|(_, a), (_, b)| a.free_tokens.total_cmp(&b.free_tokens));
        let cache = least.map(|(layer, room)| ScarceResource::Cache {
            layer: layer as u32,
            holders: room.holders,
            free_tokens: room.free_tokens,
        });
        let found: Vec<ScarceResource> = slots.into_iter().chain(cache).collect();
        if found.is_empty() { vec![ScarceResource::Path] } else { found }
    }

    /// Whether no engine can be the first one of the request. One that runs has its slot.
    fn lacks_first_slot(&self, candidates: &[&PathCandidate]) -> bool {
        let has_slot = |c: &&PathCandidate| c.layers.contains(0) && self.can_be_first(c);
        self.current_path.is_empty() && !candidates.iter().any(has_slot)
    }

    fn room_by_layer(&self, candidates: &[&PathCandidate]) -> Vec<LayerRoom> {
        let mut layers = vec![LayerRoom::default(); self.spec.layers as usize];
        for candidate in candidates {
            let has_capacity = self.has_capacity(candidate);
            let free_tokens = candidate.capacity_tokens - candidate.used_tokens;
            for room in held(&mut layers, candidate) {
                room.holders += 1;
                room.free_tokens = room.free_tokens.max(free_tokens);
                room.has_capacity |= has_capacity;
            }
        }
        layers
    }
}
