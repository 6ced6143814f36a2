//! Selection of a chain of pipeline stages.

use std::collections::BTreeMap;

use clementine_objects::LayerRange;

use crate::balance::{Candidate, expected_delay_us};
use crate::ids::AgentRef;

/// Maximum number of agents per stage: the preferred one and its fallbacks.
const AGENTS_PER_STAGE: usize = 4;

/// Engines that hold the same range of layers.
#[derive(Debug, Clone)]
pub struct StagePool {
    /// Layers that each engine holds.
    pub layers: LayerRange,
    /// Engines that accept new work.
    pub candidates: Vec<Candidate>,
}

/// One stage of a selected chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedStage {
    /// Layers of the stage.
    pub layers: LayerRange,
    /// Agents by increasing expected delay; never empty.
    pub agents: Vec<AgentRef>,
}

/// The fastest chain found from layer 0 to a layer boundary.
struct PartialChain {
    delay_us: u64,
    /// Index of the pool of the last stage; `None` for the empty chain.
    last: Option<usize>,
}

/// Selects the chain of stages covering `layers` layers that has the least total
/// expected delay. Returns `None` if the pools with candidates cannot be joined
/// into a contiguous chain.
pub fn plan_chain(layers: u32, pools: &[StagePool]) -> Option<Vec<PlannedStage>> {
    let mut by_first: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
    for (index, pool) in pools.iter().enumerate().filter(|(_, pool)| !pool.candidates.is_empty()) {
        by_first.entry(pool.layers.first()).or_default().push(index);
    }
    let mut chains = BTreeMap::from([(0, PartialChain { delay_us: 0, last: None })]);
    // Every stage ends after it starts, so one pass by first layer finds the
    // shortest path.
    for (first, indices) in by_first {
        let Some(start_us) = chains.get(&first).map(|chain| chain.delay_us) else { continue };
        for index in indices {
            let Some(pool) = pools.get(index) else { continue };
            let delay_us = start_us + least_delay_us(pool);
            let boundary = pool.layers.last() + 1;
            if chains.get(&boundary).is_none_or(|chain| delay_us < chain.delay_us) {
                chains.insert(boundary, PartialChain { delay_us, last: Some(index) });
            }
        }
    }
    let mut stages = Vec::new();
    let mut boundary = layers;
    while let Some(pool) = chains.get(&boundary)?.last.and_then(|index| pools.get(index)) {
        stages.push(PlannedStage { layers: pool.layers, agents: ranked_agents(pool) });
        boundary = pool.layers.first();
    }
    stages.reverse();
    (boundary == 0 && !stages.is_empty()).then_some(stages)
}

fn least_delay_us(pool: &StagePool) -> u64 {
    pool.candidates.iter().map(delay_us).min().unwrap_or(u64::MAX / 2)
}

fn ranked_agents(pool: &StagePool) -> Vec<AgentRef> {
    let mut ranked: Vec<_> = pool.candidates.iter().map(|c| (delay_us(c), c.agent)).collect();
    ranked.sort_unstable();
    ranked.truncate(AGENTS_PER_STAGE);
    ranked.into_iter().map(|(_, agent)| agent).collect()
}

/// Expected delay of a candidate. Suspected engines are penalized so that they
/// rank after all others.
fn delay_us(candidate: &Candidate) -> u64 {
    let delay_us = expected_delay_us(candidate);
    if candidate.suspected { delay_us.saturating_mul(1_000) } else { delay_us }
}
