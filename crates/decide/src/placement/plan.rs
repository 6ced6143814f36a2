//! Covers a model with the engines of each failure domain.

use std::collections::BTreeMap;

use clementine_objects::LayerRange;

use super::spare::Spares;
use super::{Assignment, LayerHost};
use crate::ids::DomainId;

/// Moves after which as many failure domains as possible hold the whole model.
///
/// Activations are large and links between failure domains thin, so a domain
/// whose engines can hold the model gets a copy of its own; the engines of the
/// other domains share one. Engines keep what they hold unless a layer that
/// nobody holds needs them. Urgent moves come first, by layer.
pub fn plan_layers(layers: u32, hosts: &[LayerHost]) -> Vec<Assignment> {
    let mut domains: BTreeMap<&DomainId, Vec<&LayerHost>> = BTreeMap::new();
    for holder in hosts.iter().filter(|holder| holder.max_layers > 0) {
        domains.entry(&holder.domain).or_default().push(holder);
    }
    let mut moves = Vec::new();
    let mut rest = Vec::new();
    for group in domains.into_values() {
        let capacity: u32 = group.iter().map(|holder| holder.max_layers).sum();
        if capacity >= layers {
            moves.extend(Cover::new(layers, &group).plan());
        } else {
            rest.extend(group);
        }
    }
    moves.extend(Cover::new(layers, &rest).plan());
    moves.sort_by_key(|step| !step.urgent);
    moves
}

/// Covers the model with one group of engines.
struct Cover<'a> {
    layers: u32,
    /// Engines without layers, largest first.
    free: Vec<&'a LayerHost>,
    /// Engines that hold layers.
    holding: Vec<(&'a LayerHost, LayerRange)>,
    /// What the moves so far give to engines.
    assigned: Vec<LayerRange>,
    /// Engines that hold each layer.
    copies: Vec<u32>,
    /// Tokens of context for which the hosts of each layer have room.
    room: Vec<f64>,
    moves: Vec<Assignment>,
}

impl<'a> Cover<'a> {
    fn new(layers: u32, group: &[&'a LayerHost]) -> Self {
        let mut free: Vec<&LayerHost> =
            group.iter().copied().filter(|h| h.layers.is_none()).collect();
        free.sort_by(|a, b| b.max_layers.cmp(&a.max_layers).then_with(|| a.id.cmp(&b.id)));
        let holding: Vec<_> =
            group.iter().filter_map(|h| h.layers.map(|held| (*h, held))).collect();
        let copies = vec![0; layers as usize];
        let room = vec![0.0; layers as usize];
        let mut cover =
            Self { layers, free, holding, copies, room, assigned: Vec::new(), moves: Vec::new() };
        for (holder, held) in cover.holding.clone() {
            cover.count(held, holder.context_tokens);
        }
        cover
    }

    fn plan(mut self) -> Vec<Assignment> {
        let mut after = 0;
        while let Some((from, missing)) = self.first_gap(after) {
            match self.take_for(missing) {
                Some(holder) => self.assign(holder, from, true),
                None => after = from + missing,
            }
        }
        while !self.free.is_empty() {
            let holder = self.free.remove(0);
            let from = self.window(holder.max_layers);
            self.assign(holder, from, false);
        }
        self.moves
    }

    fn count(&mut self, range: LayerRange, context: f64) {
        for layer in range.first()..range.end().min(self.layers) {
            self.copies[layer as usize] += 1;
            self.room[layer as usize] += context;
        }
    }

    /// First layer from one on that nobody holds, and how many follow on
    /// without a holder.
    fn first_gap(&self, after: u32) -> Option<(u32, u32)> {
        let copies = self.copies.iter().skip(after as usize);
        let from = after as usize + copies.take_while(|copies| **copies > 0).count();
        if from >= self.copies.len() {
            return None;
        }
        let missing = self.copies[from..].iter().take_while(|copies| **copies == 0).count();
        Some((from as u32, missing as u32))
    }

    /// The smallest engine that closes a gap alone, else the largest; one
    /// without layers before one whose layers are all held elsewhere too.
    fn take_for(&mut self, missing: u32) -> Option<&'a LayerHost> {
        if let Some(at) = fitting(self.free.iter().map(|h| h.max_layers), missing) {
            return Some(self.free.remove(at));
        }
        let is_spare =
            |(holder, held): &(&LayerHost, LayerRange)| !holder.loading && self.is_spare(*held);
        let spare: Vec<usize> =
            (0..self.holding.len()).filter(|at| is_spare(&self.holding[*at])).collect();
        let at = fitting(spare.iter().map(|at| self.holding[*at].0.max_layers), missing)?;
        let (holder, held) = self.holding.remove(spare[at]);
        for layer in held.first()..held.end().min(self.layers) {
            self.copies[layer as usize] -= 1;
            self.room[layer as usize] -= holder.context_tokens;
        }
        Some(holder)
    }

    fn is_spare(&self, held: LayerRange) -> bool {
        let end = held.end().min(self.layers);
        (held.first()..end).all(|layer| self.copies[layer as usize] > 1)
    }

    /// First layer for an engine that no gap needs.
    fn window(&self, width: u32) -> u32 {
        let held = self.holding.iter().map(|(_, held)| *held);
        let held: Vec<LayerRange> = held.chain(self.assigned.iter().copied()).collect();
        Spares { copies: &self.copies, room: &self.room, held: &held }.first_layer(width)
    }

    fn assign(&mut self, holder: &LayerHost, from: u32, urgent: bool) {
        let width = holder.max_layers.min(self.layers);
        let from = from.min(self.layers - width);
        let Some(range) = LayerRange::half_open(from, from + width) else { return };
        self.count(range, holder.context_tokens);
        self.assigned.push(range);
        let replaces = holder.layers.is_some();
        self.moves.push(Assignment { id: holder.id.clone(), layers: range, replaces, urgent });
    }
}

/// Position of the smallest of some capacities that is at least `wanted`, else
/// of the largest.
fn fitting(capacities: impl Iterator<Item = u32>, wanted: u32) -> Option<usize> {
    let rank =
        |capacity: u32| if capacity >= wanted { (0, capacity) } else { (1, u32::MAX - capacity) };
    capacities.enumerate().min_by_key(|(_, capacity)| rank(*capacity)).map(|(at, _)| at)
}
