//! Choice of layers for engines that are not needed to cover the model.

use clementine_objects::LayerRange;

/// Benefit of a second engine for the first stage, in units of one backed-up
/// engine: it adds request slots.
const FIRST_STAGE_BENEFIT: f64 = 1.0;

/// Layers loaded by a group of engines, as input to the choice of layers for a
/// spare engine.
#[derive(Debug)]
pub(super) struct LayerCoverage<'a> {
    /// Number of engines per layer.
    pub(super) copies: &'a [u32],
    /// Total KV cache capacity per layer, in tokens.
    pub(super) context_tokens: &'a [f64],
    /// Layer range of each engine.
    pub(super) ranges: &'a [LayerRange],
}

impl LayerCoverage<'_> {
    /// Returns the first of `width` layers for a spare engine: where it backs up
    /// the most engines whose loss would leave layers uncovered, and among
    /// these, where the KV cache capacity is lowest.
    ///
    /// A range that covers two engines by half prevents a gap for neither of
    /// them, so backing up one engine fully counts for more than two by half.
    pub(super) fn first_layer_for_spare(&self, width: u32) -> u32 {
        let width = width.min(self.copies.len() as u32);
        let starts = 0..=(self.copies.len() as u32 - width);
        // `max_by` returns the last maximum, so the reversed order prefers the
        // lowest layers. Losing the first engine of a path terminates its runs,
        // whereas runs are moved to another path if any other engine is lost.
        let best = starts.rev().max_by(|a, b| {
            let benefit = self.benefit(*a, width).total_cmp(&self.benefit(*b, width));
            benefit.then_with(|| self.capacity(*b, width).total_cmp(&self.capacity(*a, width)))
        });
        best.unwrap_or(0)
    }

    /// Number of engines that a layer range would back up. A partial backup
    /// counts as the square of the covered fraction.
    fn benefit(&self, from: u32, width: u32) -> f64 {
        let backed_up = |range: &LayerRange| {
            let exclusive = self.single_copies(range.first(), range.end());
            let start = range.first().max(from);
            let covered = self.single_copies(start, range.end().min(from + width).max(start));
            if exclusive == 0 { 0.0 } else { (covered as f64 / exclusive as f64).powi(2) }
        };
        let adds_first_stage = from == 0 && self.copies.first() == Some(&1);
        let first_stage = if adds_first_stage { FIRST_STAGE_BENEFIT } else { 0.0 };
        first_stage + self.ranges.iter().map(backed_up).sum::<f64>()
    }

    /// Number of layers in `from..end` that exactly one engine has loaded.
    fn single_copies(&self, from: u32, end: u32) -> usize {
        let copies = &self.copies[from as usize..(end as usize).min(self.copies.len())];
        copies.iter().filter(|copies| **copies == 1).count()
    }

    /// Sum of the KV cache capacities of a layer range, in tokens.
    fn capacity(&self, from: u32, width: u32) -> f64 {
        self.context_tokens[from as usize..(from + width) as usize].iter().sum()
    }
}
