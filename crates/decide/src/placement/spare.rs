//! Layers that a group of engines covers, and the choice of layers for engines that
//! are not needed to cover the model.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use clementine_objects::LayerRange;

/// Benefit of a second engine for the first stage, in units of one backed-up
/// engine: it adds request slots.
const FIRST_STAGE_BENEFIT: f64 = 1.0;

/// Layers that a group of engines has loaded or is to load.
///
/// Many engines have the same layers, so that all costs depend on the number of layers
/// and of different ranges, not on the number of engines.
#[derive(Debug)]
pub(super) struct LayerCoverage {
    /// Number of engines per layer.
    copies: Vec<u32>,
    /// Total KV cache capacity per layer, in tokens.
    context_tokens: Vec<f64>,
    /// Number of engines per range, by first layer and first layer after the range.
    ranges: BTreeMap<(u32, u32), u32>,
}

impl LayerCoverage {
    /// Creates the coverage of a model of `layers` layers by no engine.
    pub(super) fn new(layers: u32) -> Self {
        let layers = layers as usize;
        Self { copies: vec![0; layers], context_tokens: vec![0.0; layers], ranges: BTreeMap::new() }
    }

    /// Adds an engine with this range and KV cache capacity in tokens.
    pub(super) fn add(&mut self, range: LayerRange, context_tokens: f64) {
        *self.ranges.entry((range.first(), range.end())).or_default() += 1;
        for layer in self.layers_of(range) {
            self.copies[layer] += 1;
            self.context_tokens[layer] += context_tokens;
        }
    }

    /// Removes an engine that was added.
    pub(super) fn remove(&mut self, range: LayerRange, context_tokens: f64) {
        if let Some(engines) = self.ranges.get_mut(&(range.first(), range.end())) {
            *engines -= 1;
        }
        self.ranges.retain(|_, engines| *engines > 0);
        for layer in self.layers_of(range) {
            self.copies[layer] -= 1;
            self.context_tokens[layer] -= context_tokens;
        }
    }

    fn layers_of(&self, range: LayerRange) -> std::ops::Range<usize> {
        let end = (range.end() as usize).min(self.copies.len());
        (range.first() as usize).min(end)..end
    }

    /// First gap in the coverage at or after a layer, as its first layer and its
    /// length.
    pub(super) fn first_gap(&self, search_from: u32) -> Option<(u32, u32)> {
        let copies = self.copies.iter().skip(search_from as usize);
        let first = search_from as usize + copies.take_while(|copies| **copies > 0).count();
        if first >= self.copies.len() {
            return None;
        }
        let count = self.copies[first..].iter().take_while(|copies| **copies == 0).count();
        Some((first as u32, count as u32))
    }

    /// Whether all layers of a range have more than one copy.
    pub(super) fn is_redundant(&self, range: LayerRange) -> bool {
        self.copies[self.layers_of(range)].iter().all(|copies| *copies > 1)
    }

    /// Returns the first of `width` layers for a spare engine: where it backs up
    /// the most engines whose loss would leave layers uncovered, and among
    /// these, where the KV cache capacity is lowest.
    ///
    /// A range that covers two engines by half prevents a gap for neither of
    /// them, so backing up one engine fully counts for more than two by half.
    pub(super) fn first_layer_for_spare(&self, width: u32) -> u32 {
        let width = width.min(self.copies.len() as u32);
        let singles = SingleCopies::new(&self.copies);
        // The lowest of the best layers is taken. Losing the first engine of a path
        // terminates its runs, whereas runs are moved to another path if any other
        // engine is lost.
        let mut best = (0, f64::NEG_INFINITY, f64::INFINITY);
        for start in 0..=(self.copies.len() as u32 - width) {
            let (benefit, capacity) =
                (self.benefit(start, width, &singles), self.capacity(start, width));
            let order = benefit.total_cmp(&best.1).then(best.2.total_cmp(&capacity));
            if order == Ordering::Greater {
                best = (start, benefit, capacity);
            }
        }
        best.0
    }

    /// Number of engines that a layer range would back up. A partial backup
    /// counts as the square of the covered fraction.
    fn benefit(&self, from: u32, width: u32, singles: &SingleCopies) -> f64 {
        if singles.is_empty() {
            return 0.0;
        }
        let adds_first_stage = from == 0 && self.copies.first() == Some(&1);
        let first_stage = if adds_first_stage { FIRST_STAGE_BENEFIT } else { 0.0 };
        let backed_up = self.ranges.iter().map(|(&(first, end), engines)| {
            let exclusive = singles.count(first, end);
            let covered = singles.count(first.max(from), end.min(from + width));
            if exclusive == 0 {
                0.0
            } else {
                (f64::from(covered) / f64::from(exclusive)).powi(2) * f64::from(*engines)
            }
        });
        first_stage + backed_up.sum::<f64>()
    }

    /// Sum of the KV cache capacities of a layer range, in tokens.
    fn capacity(&self, from: u32, width: u32) -> f64 {
        self.context_tokens[from as usize..(from + width) as usize].iter().sum()
    }
}

/// Layers that exactly one engine has loaded.
struct SingleCopies {
    /// Number of these layers before each layer, and in total.
    before: Vec<u32>,
}

impl SingleCopies {
    fn new(copies: &[u32]) -> Self {
        let mut before = vec![0];
        let mut count = 0;
        for copies in copies {
            count += u32::from(*copies == 1);
            before.push(count);
        }
        Self { before }
    }

    fn is_empty(&self) -> bool {
        self.before.last() == Some(&0)
    }

    /// Number of these layers in `from..end`.
    fn count(&self, from: u32, end: u32) -> u32 {
        let at = |layer: u32| self.before[(layer as usize).min(self.before.len() - 1)];
        if from < end { at(end) - at(from) } else { 0 }
    }
}
