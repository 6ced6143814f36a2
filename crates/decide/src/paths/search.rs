//! The path with the least expected time.

use clementine_objects::LayerRange;

use super::{Demand, Link, LinkUsage, PathCandidate, PathStage};
use crate::fleet::EngineSpec;
use crate::ids::{BackendId, Tick};

/// Wait for the pass under way at a stage, as a share of a pass.
const PASS_WAIT: f64 = 0.5;
/// One-way delay between two engines of a failure domain, in ms.
const NEAR_DELAY_MS: f64 = 0.2;
/// Weight of a full memory against an empty one in a stage's time.
const MEMORY_WEIGHT: f64 = 3.0;
/// Share of an engine's memory that requests may be promised.
const MEMORY_SHARE: f64 = 0.95;

/// The cheapest way known to have run all layers before some layer.
#[derive(Debug, Clone, Copy)]
struct Step {
    cost: f64,
    /// Stop that runs the last layers of the way.
    stop: usize,
    /// First layer that the stop runs.
    from: u32,
    /// Index of the way up to that layer among the ways that end there.
    before: Option<usize>,
}

/// Share of a link between failure domains that paths may fill. The rest is
/// for links that are slower than they should be, and for use that entries have
/// not told each other yet.
const LINK_SHARE: f64 = 0.25;
/// The same share where no path stays below it.
const LINK_SHARE_AT_WORST: f64 = 0.6;

/// Time on a link above which a request stays within a failure domain as long
/// as one has room, in ms: meanwhile the tokens of all others wait.
const LONGEST_TRANSFER_MS: f64 = 30.0;

/// Share of a link that such requests may fill where none has room.
const LINK_SHARE_OF_LONG: f64 = 0.1;

/// A search for the path of one request.
#[derive(Debug, Clone, Copy)]
pub struct PathSearch<'a> {
    /// The engines' model.
    pub spec: &'a EngineSpec,
    /// Engines that the request may pass through.
    pub candidates: &'a [PathCandidate],
    /// Use of the links between failure domains.
    pub links: &'a LinkUsage,
    /// What the request needs.
    pub demand: Demand,
    /// Engines that the path may begin with; all where there are none.
    pub allowed_first: &'a [BackendId],
    /// Path on which the request runs already, if it does: its first leg stays,
    /// and legs that stay have the request's context.
    pub current_path: &'a [PathStage],
    /// The present.
    pub now: Tick,
}

impl PathSearch<'_> {
    /// The path through all layers with the least expected time, or `None`
    /// where no path has room for the request.
    ///
    /// Ways are compared at every layer at which an engine's range begins or
    /// ends, one for each failure domain, since the next hop's time depends on
    /// it.
    pub fn cheapest_path(&self) -> Option<Vec<PathStage>> {
        let transfer_ms =
            transfer_bytes(self.spec, self.demand) / self.spec.domain_link_bytes_per_ms.max(1.0);
        let shares = if transfer_ms > LONGEST_TRANSFER_MS {
            [0.0, LINK_SHARE_OF_LONG]
        } else {
            [LINK_SHARE, LINK_SHARE_AT_WORST]
        };
        shares.into_iter().find_map(|share| self.cheapest_within(share))
    }

    fn cheapest_within(&self, link_share: f64) -> Option<Vec<PathStage>> {
        let stops = self.candidates;
        let mut usable: Vec<usize> =
            (0..stops.len()).filter(|at| self.has_room(&stops[*at])).collect();
        loop {
            let path = self.search(&usable, link_share)?;
            let Some(twice) = visited_twice(&path) else {
                let legs = path.into_iter().map(|(stop, layers)| leg(&stops[stop], layers));
                return Some(legs.collect());
            };
            usable.retain(|stop| *stop != twice);
        }
    }

    fn search(&self, usable: &[usize], link_share: f64) -> Option<Vec<(usize, LayerRange)>> {
        let layers = self.spec.layers;
        let cuts = self.cuts(usable);
        let mut ways: Vec<Vec<Step>> = vec![Vec::new(); layers as usize + 1];
        for (at, &from) in cuts.iter().enumerate() {
            if from > 0 && ways[from as usize].is_empty() {
                continue;
            }
            for &stop in usable {
                let range = self.candidates[stop].layers;
                if !range.contains(from) {
                    continue;
                }
                let arrival = self.arrival(&ways[from as usize], from, stop, link_share);
                let Some((before, cost)) = arrival else { continue };
                for &to in cuts[at + 1..].iter().take_while(|to| **to <= range.end()) {
                    if from == 0 && !self.may_begin(stop, to) {
                        continue;
                    }
                    let cost = cost + self.stage_ms(&self.candidates[stop], from, to);
                    keep_best(
                        self.candidates,
                        &mut ways[to as usize],
                        Step { cost, stop, from, before },
                    );
                }
            }
        }
        walk_back(layers, &ways)
    }

    fn has_room(&self, stop: &PathCandidate) -> bool {
        let needed = self.demand.prompt_tokens + self.demand.output_tokens;
        let fits = stop.used_tokens + needed <= stop.capacity_tokens * MEMORY_SHARE;
        fits || self.current_path.iter().any(|leg| leg.id == stop.id)
    }

    /// Layers at which a path may pass from one engine to another.
    fn cuts(&self, usable: &[usize]) -> Vec<u32> {
        let held = usable.iter().map(|stop| self.candidates[*stop].layers);
        let present = self.current_path.iter().map(|leg| leg.layers);
        let ranges = held.chain(present);
        let mut cuts: Vec<u32> = ranges.flat_map(|range| [range.first(), range.end()]).collect();
        cuts.extend([0, self.spec.layers]);
        cuts.retain(|cut| *cut <= self.spec.layers);
        cuts.sort_unstable();
        cuts.dedup();
        cuts
    }

    /// Whether the request's context is at a stop's layers already.
    fn has_context(&self, stop: &PathCandidate, from: u32, to: u32) -> bool {
        let stays = |leg: &PathStage| {
            leg.id == stop.id && leg.layers.first() == from && leg.layers.end() == to
        };
        self.current_path.iter().any(stays)
    }

    fn may_begin(&self, stop: usize, to: u32) -> bool {
        let id = &self.candidates[stop].id;
        if let Some(leg) = self.current_path.first() {
            return leg.id == *id && leg.layers.end() == to;
        }
        let has_slot = self.candidates[stop].free_slots > 0;
        has_slot && (self.allowed_first.is_empty() || self.allowed_first.contains(id))
    }

    /// The best way to hand the request over to a stop: its index and its cost
    /// with the hop.
    fn arrival(
        &self,
        ways: &[Step],
        from: u32,
        stop: usize,
        link_share: f64,
    ) -> Option<(Option<usize>, f64)> {
        if from == 0 {
            return Some((None, 0.0));
        }
        let handed_over = ways.iter().enumerate().filter(|(_, way)| way.stop != stop);
        let costs = handed_over.filter_map(|(at, way)| {
            let hop =
                self.hop_ms(&self.candidates[way.stop], &self.candidates[stop], link_share)?;
            Some((Some(at), way.cost + hop))
        });
        costs.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Expected time that the request spends on layers of a stop, in ms.
    fn stage_ms(&self, stop: &PathCandidate, from: u32, to: u32) -> f64 {
        let share = self.spec.model_fraction(to - from);
        let unread = if self.has_context(stop, from, to) { 0.0 } else { self.demand.prompt_tokens };
        let reading = unread * stop.prefill_ms_per_token * share;
        let writing = self.demand.output_tokens * stop.step_ms * share * (1.0 + PASS_WAIT);
        let taken = stop.used_tokens / stop.capacity_tokens.max(1.0);
        (reading + writing) * (1.0 + MEMORY_WEIGHT * taken * taken)
    }

    /// Expected time that the request spends on the way between two stops, in
    /// ms; `None` where the link has no room.
    fn hop_ms(&self, a: &PathCandidate, b: &PathCandidate, link_share: f64) -> Option<f64> {
        let answer = self.demand.output_tokens;
        if a.domain == b.domain {
            return Some(answer * NEAR_DELAY_MS);
        }
        let capacity = self.spec.domain_link_bytes_per_ms.max(1.0);
        let used = self.links.total(&Link::between(&a.domain, &b.domain), self.now) / capacity;
        if used >= link_share {
            return None;
        }
        let transfer = transfer_bytes(self.spec, self.demand) / capacity / (1.0 - used);
        Some(transfer + answer * self.spec.delay_ms(&a.domain, &b.domain).max(NEAR_DELAY_MS))
    }
}

/// Bytes that a request hands from one engine to the next.
pub fn transfer_bytes(spec: &EngineSpec, demand: Demand) -> f64 {
    (demand.prompt_tokens + demand.output_tokens) * spec.activation_bytes
}

fn leg(stop: &PathCandidate, layers: LayerRange) -> PathStage {
    PathStage { id: stop.id.clone(), address: stop.address, layers }
}

fn visited_twice(path: &[(usize, LayerRange)]) -> Option<usize> {
    let again = |at: &usize| path[..*at].iter().any(|(stop, _)| *stop == path[*at].0);
    (0..path.len()).find(again).map(|at| path[at].0)
}

fn keep_best(stops: &[PathCandidate], ways: &mut Vec<Step>, step: Step) {
    let domain = &stops[step.stop].domain;
    match ways.iter_mut().find(|way| stops[way.stop].domain == *domain) {
        Some(way) if way.cost <= step.cost => {}
        Some(way) => *way = step,
        None => ways.push(step),
    }
}

fn walk_back(layers: u32, ways: &[Vec<Step>]) -> Option<Vec<(usize, LayerRange)>> {
    let mut end = layers;
    let best = ways[end as usize].iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
    let mut step = *best?;
    let mut path = Vec::new();
    loop {
        path.push((step.stop, LayerRange::half_open(step.from, end)?));
        let Some(before) = step.before else { break };
        end = step.from;
        step = ways[end as usize][before];
    }
    path.reverse();
    Some(path)
}
