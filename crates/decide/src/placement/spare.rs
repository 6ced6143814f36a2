//! Where an engine that no gap needs does the most good.

use clementine_objects::LayerRange;

/// What a second engine that paths can begin with is worth, in engines stood in
/// for: its slots are added to the other's.
const FIRST_ENGINE: f64 = 1.0;

/// The engines of a group by what they hold, with a choice of layers for one
/// more.
#[derive(Debug)]
pub(super) struct Spares<'a> {
    /// Number of engines that hold each layer.
    pub(super) copies: &'a [u32],
    /// Tokens of context for which the holders of each layer have room.
    pub(super) room: &'a [f64],
    /// What the engines hold.
    pub(super) held: &'a [LayerRange],
}

impl Spares<'_> {
    /// First of `width` layers for an engine beside the others: where it stands
    /// in for the most engines whose loss would leave a gap, then where there
    /// is least room for context.
    ///
    /// A window across two halves of engines protects neither from a loss, so
    /// that a whole range counts for more than two halves.
    pub(super) fn first_layer(&self, width: u32) -> u32 {
        let width = width.min(self.copies.len() as u32);
        let starts = 0..=(self.copies.len() as u32 - width);
        // Of equals the last is taken, hence the first layers: the loss of a
        // path's first engine ends its runs, that of another moves them.
        let best = starts.rev().max_by(|a, b| {
            let protects = self.protected(*a, width).total_cmp(&self.protected(*b, width));
            protects.then_with(|| self.room(*b, width).total_cmp(&self.room(*a, width)))
        });
        best.unwrap_or(0)
    }

    /// Engines that a window would stand in for, parts counted by their square.
    fn protected(&self, from: u32, width: u32) -> f64 {
        let part = |held: &LayerRange| {
            let alone = self.held_alone(held.first(), held.end());
            let first = held.first().max(from);
            let covered = self.held_alone(first, held.end().min(from + width).max(first));
            if alone == 0 { 0.0 } else { (covered as f64 / alone as f64).powi(2) }
        };
        let begins_alone = from == 0 && self.copies.first() == Some(&1);
        let begins = if begins_alone { FIRST_ENGINE } else { 0.0 };
        begins + self.held.iter().map(part).sum::<f64>()
    }

    /// Layers of a part that just one engine holds.
    fn held_alone(&self, from: u32, end: u32) -> usize {
        let copies = &self.copies[from as usize..(end as usize).min(self.copies.len())];
        copies.iter().filter(|copies| **copies == 1).count()
    }

    fn room(&self, from: u32, width: u32) -> f64 {
        self.room[from as usize..(from + width) as usize].iter().sum()
    }
}
