//! Dynamic program that finds the cheapest path.

use clementine_objects::LayerRange;

use super::cost::Costs;

/// The last stage of a partial path that covers all layers before a boundary.
#[derive(Debug, Clone, Copy)]
struct PartialPath {
    /// Cost of the whole partial path.
    cost: f64,
    /// Index of the candidate that runs the last stage.
    candidate: usize,
    /// First layer of the last stage.
    first_layer: u32,
    /// Failure domain of the preceding partial path, which ends at `first_layer`;
    /// `None` for the first stage.
    predecessor: Option<usize>,
}

/// Dynamic program over the layers at which the range of an engine begins or ends.
/// It keeps the cheapest partial path per layer and failure domain, because the
/// cost of the next hop depends on the domain.
#[derive(Debug)]
pub(super) struct PathProgram<'a> {
    costs: &'a Costs<'a>,
    usable: &'a [usize],
    /// Cheapest partial paths by the layer before which they end and by failure
    /// domain. Invariant: at most one per layer and domain.
    partial: Vec<Option<PartialPath>>,
}

impl<'a> PathProgram<'a> {
    /// Prepares the search among the usable candidates.
    pub(super) fn new(costs: &'a Costs<'a>, usable: &'a [usize]) -> Self {
        let layers = costs.search().spec.layers as usize;
        Self { costs, usable, partial: vec![None; (layers + 1) * costs.domain_count()] }
    }

    /// Returns the cheapest path as candidates and their layers. It can contain a
    /// candidate twice.
    pub(super) fn solve(mut self) -> Option<Vec<(usize, LayerRange)>> {
        let candidates = self.costs.search().candidates;
        let boundaries = self.boundaries();
        for (index, &from) in boundaries.iter().enumerate() {
            if from > 0 && self.ending_at(from).iter().all(Option::is_none) {
                continue;
            }
            for &candidate in self.usable {
                let range = candidates[candidate].layers;
                if !range.contains(from) {
                    continue;
                }
                let Some((predecessor, cost)) = self.cheapest_predecessor(from, candidate) else {
                    continue;
                };
                for &to in boundaries[index + 1..].iter().take_while(|to| **to <= range.end()) {
                    if from == 0 && !self.costs.search().can_be_first(candidate, to) {
                        continue;
                    }
                    let cost = cost + self.costs.stage(candidate, from, to);
                    let path = PartialPath { cost, candidate, first_layer: from, predecessor };
                    self.insert_if_cheaper(to, path);
                }
            }
        }
        self.reconstruct()
    }

    /// Layers at which one stage may end and the next one begin, in ascending
    /// order.
    fn boundaries(&self) -> Vec<u32> {
        let search = self.costs.search();
        let loaded = self.usable.iter().map(|index| search.candidates[*index].layers);
        let current = search.current_path.iter().map(|stage| stage.layers);
        let mut is_boundary = vec![false; search.spec.layers as usize + 1];
        let ends = loaded.chain(current).flat_map(|range| [range.first(), range.end()]);
        for layer in ends.chain([0, search.spec.layers]) {
            if let Some(slot) = is_boundary.get_mut(layer as usize) {
                *slot = true;
            }
        }
        (0..=search.spec.layers).filter(|layer| is_boundary[*layer as usize]).collect()
    }

    /// The partial paths that end before a layer, by failure domain.
    fn ending_at(&self, layer: u32) -> &[Option<PartialPath>] {
        let count = self.costs.domain_count();
        &self.partial[layer as usize * count..][..count]
    }

    /// The cheapest partial path that a stage on `candidate` can continue: its
    /// failure domain, and its cost including the hop. The domain is `None` for the
    /// first stage.
    fn cheapest_predecessor(&self, from: u32, candidate: usize) -> Option<(Option<usize>, f64)> {
        if from == 0 {
            return Some((None, 0.0));
        }
        let paths = self.ending_at(from).iter().enumerate();
        let others = paths.filter_map(|(domain, path)| Some((domain, (*path)?)));
        let others = others.filter(|(_, path)| path.candidate != candidate);
        let costs = others.filter_map(|(domain, path)| {
            Some((Some(domain), path.cost + self.costs.hop(path.candidate, candidate)?))
        });
        costs.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Inserts a partial path unless one that ends in the same failure domain is at
    /// least as cheap; a more expensive one is replaced.
    fn insert_if_cheaper(&mut self, layer: u32, new: PartialPath) {
        let domain = self.costs.domain(new.candidate);
        let slot = &mut self.partial[layer as usize * self.costs.domain_count() + domain];
        if slot.is_none_or(|path| new.cost < path.cost) {
            *slot = Some(new);
        }
    }

    /// Follows the predecessors back from the cheapest complete path.
    fn reconstruct(&self) -> Option<Vec<(usize, LayerRange)>> {
        let mut end = self.costs.search().spec.layers;
        let complete = self.ending_at(end).iter().flatten();
        let mut last = *complete.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        let mut path = Vec::new();
        loop {
            path.push((last.candidate, LayerRange::half_open(last.first_layer, end)?));
            let Some(predecessor) = last.predecessor else { break };
            end = last.first_layer;
            last = self.ending_at(end)[predecessor]?;
        }
        path.reverse();
        Some(path)
    }
}
