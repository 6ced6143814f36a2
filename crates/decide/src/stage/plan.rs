//! The choice of a chain of stages.

use std::collections::BTreeMap;

use clementine_objects::LayerRange;

use crate::balance::{Candidate, expected_delay_us};
use crate::ids::AgentRef;

/// Agents listed for each stage: the choice and its replacements.
const AGENTS_PER_STAGE: usize = 4;

/// Engines that hold the same range of layers.
#[derive(Debug, Clone)]
pub struct StagePool {
    /// The layers.
    pub layers: LayerRange,
    /// The engines that take new work.
    pub candidates: Vec<Candidate>,
}

/// One stage of a chosen chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedStage {
    /// Layers of the stage.
    pub layers: LayerRange,
    /// Agents from the least expected delay on, at least one.
    pub agents: Vec<AgentRef>,
}

/// The cheapest way found to a layer boundary.
struct Way {
    delay_us: u64,
    last: Option<usize>,
}

/// Chooses the chain of stages from layer 0 to the last one with the least
/// expected delay, or `None` when the pools with candidates do not join up.
pub fn plan_chain(layers: u32, pools: &[StagePool]) -> Option<Vec<PlannedStage>> {
    let mut by_first: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
    for (index, pool) in pools.iter().enumerate().filter(|(_, pool)| !pool.candidates.is_empty()) {
        by_first.entry(pool.layers.first()).or_default().push(index);
    }
    let mut ways = BTreeMap::from([(0, Way { delay_us: 0, last: None })]);
    // Ranges only lead forward, so that one pass in order of layers suffices.
    for (first, indices) in by_first {
        let Some(start_us) = ways.get(&first).map(|way| way.delay_us) else { continue };
        for index in indices {
            let Some(pool) = pools.get(index) else { continue };
            let delay_us = start_us + least_delay_us(pool);
            let boundary = pool.layers.last() + 1;
            if ways.get(&boundary).is_none_or(|way| delay_us < way.delay_us) {
                ways.insert(boundary, Way { delay_us, last: Some(index) });
            }
        }
    }
    let mut chain = Vec::new();
    let mut boundary = layers;
    while let Some(pool) = ways.get(&boundary)?.last.and_then(|index| pools.get(index)) {
        chain.push(PlannedStage { layers: pool.layers, agents: agents(pool) });
        boundary = pool.layers.first();
    }
    chain.reverse();
    (boundary == 0 && !chain.is_empty()).then_some(chain)
}

fn least_delay_us(pool: &StagePool) -> u64 {
    pool.candidates.iter().map(delay_us).min().unwrap_or(u64::MAX / 2)
}

fn agents(pool: &StagePool) -> Vec<AgentRef> {
    let mut ranked: Vec<_> = pool.candidates.iter().map(|c| (delay_us(c), c.agent)).collect();
    ranked.sort_unstable();
    ranked.truncate(AGENTS_PER_STAGE);
    ranked.into_iter().map(|(_, agent)| agent).collect()
}

/// Suspected engines come last.
fn delay_us(candidate: &Candidate) -> u64 {
    let delay_us = expected_delay_us(candidate);
    if candidate.suspected { delay_us.saturating_mul(1_000) } else { delay_us }
}
