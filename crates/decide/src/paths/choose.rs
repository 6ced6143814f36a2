//! The path with the least expected time.

use clementine_objects::LayerRange;

use super::{Demand, Leg, Stop};
use crate::fleet::EngineSpec;

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

/// The path through all layers with the least expected time, or `None` where
/// no path has room for the request.
///
/// Ways are compared at every layer at which an engine's range begins or ends,
/// one for each failure domain, since the next hop's time depends on it.
pub fn cheapest_path(spec: &EngineSpec, stops: &[Stop], demand: Demand) -> Option<Vec<Leg>> {
    let mut usable: Vec<usize> = (0..stops.len()).filter(|at| has_room(&stops[*at], demand)).collect();
    loop {
        let path = search(spec, stops, &usable, demand)?;
        let Some(twice) = visited_twice(&path) else {
            return Some(path.into_iter().map(|(stop, layers)| leg(&stops[stop], layers)).collect());
        };
        usable.retain(|stop| *stop != twice);
    }
}

fn has_room(stop: &Stop, demand: Demand) -> bool {
    let needed = demand.prompt + demand.answer;
    stop.used_tokens + needed <= stop.capacity_tokens * MEMORY_SHARE
}

fn leg(stop: &Stop, layers: LayerRange) -> Leg {
    Leg { id: stop.id.clone(), address: stop.address, layers }
}

fn visited_twice(path: &[(usize, LayerRange)]) -> Option<usize> {
    let again = |at: &usize| path[..*at].iter().any(|(stop, _)| *stop == path[*at].0);
    (0..path.len()).find(again).map(|at| path[at].0)
}

fn search(
    spec: &EngineSpec,
    stops: &[Stop],
    usable: &[usize],
    demand: Demand,
) -> Option<Vec<(usize, LayerRange)>> {
    let cuts = cuts(spec.layers, stops, usable);
    let mut ways: Vec<Vec<Step>> = vec![Vec::new(); spec.layers as usize + 1];
    for (at, &from) in cuts.iter().enumerate() {
        if from > 0 && ways[from as usize].is_empty() {
            continue;
        }
        for &stop in usable {
            let range = stops[stop].layers;
            if !range.contains(from) {
                continue;
            }
            let Some((before, cost)) = arrival(spec, stops, &ways[from as usize], from, stop, demand) else {
                continue;
            };
            for &to in cuts[at + 1..].iter().take_while(|to| **to <= range.end()) {
                let cost = cost + stage_ms(spec, &stops[stop], to - from, demand);
                keep_best(stops, &mut ways[to as usize], Step { cost, stop, from, before });
            }
        }
    }
    walk_back(spec.layers, &ways)
}

/// Layers at which a path may pass from one engine to another.
fn cuts(layers: u32, stops: &[Stop], usable: &[usize]) -> Vec<u32> {
    let ranges = usable.iter().map(|stop| stops[*stop].layers);
    let mut cuts: Vec<u32> = ranges.flat_map(|range| [range.first(), range.end()]).collect();
    cuts.extend([0, layers]);
    cuts.retain(|cut| *cut <= layers);
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// The best way to hand the request over to a stop: its index and its cost
/// with the hop.
fn arrival(
    spec: &EngineSpec,
    stops: &[Stop],
    ways: &[Step],
    from: u32,
    stop: usize,
    demand: Demand,
) -> Option<(Option<usize>, f64)> {
    if from == 0 {
        return Some((None, 0.0));
    }
    let handed_over = ways.iter().enumerate().filter(|(_, way)| way.stop != stop);
    let costs = handed_over
        .map(|(at, way)| (Some(at), way.cost + hop_ms(spec, &stops[way.stop], &stops[stop], demand)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1))
}

fn keep_best(stops: &[Stop], ways: &mut Vec<Step>, step: Step) {
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

/// Expected time that a request spends on `count` layers of a stop, in ms.
fn stage_ms(spec: &EngineSpec, stop: &Stop, count: u32, demand: Demand) -> f64 {
    let share = spec.share(count);
    let reading = demand.prompt * stop.read_ms_per_token * share;
    let writing = demand.answer * stop.step_ms * share * (1.0 + PASS_WAIT);
    let taken = stop.used_tokens / stop.capacity_tokens.max(1.0);
    (reading + writing) * (1.0 + MEMORY_WEIGHT * taken * taken)
}

/// Expected time that a request spends on the way between two stops, in ms.
fn hop_ms(spec: &EngineSpec, a: &Stop, b: &Stop, demand: Demand) -> f64 {
    if a.domain == b.domain {
        return demand.answer * NEAR_DELAY_MS;
    }
    let tokens = demand.prompt + demand.answer;
    let transfer = tokens * spec.activation_bytes / spec.domain_link_bytes_per_ms.max(1.0);
    transfer + demand.answer * spec.delay_ms(&a.domain, &b.domain).max(NEAR_DELAY_MS)
}
