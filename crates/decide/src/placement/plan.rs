//! Placement of a model's layers on the engines of each failure domain.

use std::collections::BTreeMap;

use clementine_objects::LayerRange;

use super::spare::LayerCoverage;
use super::{Assignment, LayerHost};
use crate::ids::DomainId;

/// Returns the assignments after which as many failure domains as possible hold
/// a complete copy of the model.
///
/// Activations are large and the links between failure domains have little
/// bandwidth, so each domain whose engines can hold the model gets its own copy.
/// The engines of all other domains share one. An engine keeps its layers unless
/// it is needed for layers that no engine holds. Urgent assignments come first,
/// in ascending order of layers within each group of engines. At most `max`
/// assignments are returned; the others are not computed.
pub fn plan_layers(layers: u32, hosts: &[LayerHost], max: usize) -> Vec<Assignment> {
    let mut domains: BTreeMap<&DomainId, Vec<&LayerHost>> = BTreeMap::new();
    for host in hosts.iter().filter(|host| host.max_layers > 0) {
        domains.entry(&host.domain).or_default().push(host);
    }
    let mut assignments = Vec::new();
    let mut remaining = Vec::new();
    for group in domains.into_values() {
        let capacity: u32 = group.iter().map(|host| host.max_layers).sum();
        if capacity >= layers {
            assignments.extend(GroupPlanner::new(layers, &group).plan(max));
        } else {
            remaining.extend(group);
        }
    }
    assignments.extend(GroupPlanner::new(layers, &remaining).plan(max));
    assignments.sort_by_key(|assignment| !assignment.urgent);
    assignments.truncate(max);
    assignments
}

/// Plans one copy of the model on a group of engines.
struct GroupPlanner<'a> {
    /// Number of layers of the model.
    layers: u32,
    /// Engines without layers, in descending order of capacity.
    unassigned: Vec<&'a LayerHost>,
    /// Engines that have layers loaded.
    loaded: Vec<(&'a LayerHost, LayerRange)>,
    /// Layers that are loaded or assigned.
    coverage: LayerCoverage,
    assignments: Vec<Assignment>,
}

impl<'a> GroupPlanner<'a> {
    fn new(layers: u32, group: &[&'a LayerHost]) -> Self {
        let mut unassigned: Vec<&LayerHost> =
            group.iter().copied().filter(|host| host.layers.is_none()).collect();
        unassigned.sort_by(|a, b| b.max_layers.cmp(&a.max_layers).then_with(|| a.id.cmp(&b.id)));
        let loaded: Vec<_> =
            group.iter().filter_map(|host| host.layers.map(|range| (*host, range))).collect();
        let mut coverage = LayerCoverage::new(layers);
        for (host, range) in &loaded {
            coverage.add(*range, host.context_tokens);
        }
        Self { layers, unassigned, loaded, coverage, assignments: Vec::new() }
    }

    /// Plans the assignments that cover the model, and at most `max_spares` others.
    fn plan(mut self, max_spares: usize) -> Vec<Assignment> {
        let mut search_from = 0;
        while let Some((first, count)) = self.coverage.first_gap(search_from) {
            match self.take_host_for_gap(count) {
                Some(host) => self.assign(host, first, true),
                None => search_from = first + count,
            }
        }
        for host in std::mem::take(&mut self.unassigned).into_iter().take(max_spares) {
            let first = self.coverage.first_layer_for_spare(host.max_layers);
            self.assign(host, first, false);
        }
        self.assignments
    }

    /// Takes the smallest engine that can cover a gap alone, or else the largest
    /// one. Engines without layers are preferred; otherwise an engine is taken
    /// whose layers all have another copy.
    fn take_host_for_gap(&mut self, count: u32) -> Option<&'a LayerHost> {
        if let Some(index) = best_fit(self.unassigned.iter().map(|host| host.max_layers), count) {
            return Some(self.unassigned.remove(index));
        }
        let is_available = |(host, range): &(&LayerHost, LayerRange)| {
            !host.loading && self.coverage.is_redundant(*range)
        };
        let available: Vec<usize> =
            (0..self.loaded.len()).filter(|index| is_available(&self.loaded[*index])).collect();
        let capacities = available.iter().map(|index| self.loaded[*index].0.max_layers);
        let best = best_fit(capacities, count)?;
        let (host, range) = self.loaded.remove(available[best]);
        self.coverage.remove(range, host.context_tokens);
        Some(host)
    }

    /// Assigns as many layers as fit on an engine, beginning with `first` or, near
    /// the end of the model, with an earlier layer.
    fn assign(&mut self, host: &LayerHost, first: u32, urgent: bool) {
        let width = host.max_layers.min(self.layers);
        let first = first.min(self.layers - width);
        let Some(layers) = LayerRange::half_open(first, first + width) else { return };
        self.coverage.add(layers, host.context_tokens);
        let replaces = host.layers.is_some();
        self.assignments.push(Assignment { id: host.id.clone(), layers, replaces, urgent });
    }
}

/// Index of the smallest capacity that is at least `wanted`, or else of the
/// largest capacity.
fn best_fit(capacities: impl Iterator<Item = u32>, wanted: u32) -> Option<usize> {
    let rank =
        |capacity: u32| if capacity >= wanted { (0, capacity) } else { (1, u32::MAX - capacity) };
    capacities.enumerate().min_by_key(|(_, capacity)| rank(*capacity)).map(|(index, _)| index)
}
