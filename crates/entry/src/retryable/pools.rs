//! Where a request may run.

use clementine_decide::balance::Candidate;
use clementine_decide::ids::{Tick, WorkId};
use clementine_decide::stage::{HeadGeneration, PlannedStage, StagePool, plan_chain};
use clementine_objects::{Catalog, LayerRange, Model, PoolName};
use clementine_wire::{SplitPlan, StageTargets};

use crate::fleet::Fleet;

/// Where a request may run.
#[derive(Debug, Clone)]
pub(super) enum EligiblePools {
    /// Backend servers of any of these pools, on their own.
    Unsplit(Vec<PoolName>),
    /// A chain of engines that hold ranges of layers.
    Split {
        /// Layers of the model.
        layers: u32,
        /// Pools with the layers that their engines hold.
        pools: Vec<(PoolName, LayerRange)>,
        /// The request at all stages.
        work: WorkId,
    },
}

/// Candidates for an attempt, with the plan when the model is split.
#[derive(Debug)]
pub(super) struct Candidates {
    pub(super) candidates: Vec<Candidate>,
    pub(super) stages: Option<Vec<StageTargets>>,
}

impl EligiblePools {
    /// Where a model's requests may run. A pool that holds all layers goes
    /// before a chain.
    pub(super) fn for_model(catalog: &Catalog, model: &Model, work: WorkId) -> Self {
        let pools = || model.pools.iter().filter_map(|name| catalog.pool(name));
        let whole: Vec<_> =
            pools().filter(|pool| pool.layers.is_none()).map(|pool| pool.name.clone()).collect();
        if !whole.is_empty() {
            return Self::Unsplit(whole);
        }
        let ranged = pools().filter_map(|pool| Some((pool.name.clone(), pool.layers?)));
        Self::Split { layers: model.layers, pools: ranged.collect(), work }
    }

    /// The candidates that are known now.
    pub(super) fn candidates(&self, fleet: &Fleet, now: Tick) -> Candidates {
        match self {
            Self::Unsplit(pools) => {
                let candidates = pools.iter().flat_map(|pool| fleet.candidates(pool, now));
                Candidates { candidates: candidates.collect(), stages: None }
            }
            Self::Split { layers, pools, .. } => split_candidates(fleet, *layers, pools, now),
        }
    }

    /// Pools whose backend servers may run the request.
    pub(super) fn names(&self) -> Vec<PoolName> {
        match self {
            Self::Unsplit(pools) => pools.clone(),
            Self::Split { pools, .. } => pools.iter().map(|(name, _)| name.clone()).collect(),
        }
    }

    /// The plan of an attempt, when the model is split.
    pub(super) fn plan(
        &self,
        stages: Option<Vec<StageTargets>>,
        head: HeadGeneration,
        delivered: u32,
    ) -> Option<SplitPlan> {
        match (self, stages) {
            (Self::Split { work, .. }, Some(stages)) => {
                Some(SplitPlan { work: *work, head, stages, delivered })
            }
            _ => None,
        }
    }
}

fn split_candidates(
    fleet: &Fleet,
    layers: u32,
    pools: &[(PoolName, LayerRange)],
    now: Tick,
) -> Candidates {
    let stage_pools: Vec<_> = pools
        .iter()
        .map(|(name, layers)| StagePool {
            layers: *layers,
            candidates: fleet.candidates(name, now),
        })
        .collect();
    let chain = plan_chain(layers, &stage_pools).unwrap_or_default();
    let Some((head, rest)) = chain.split_first() else {
        return Candidates { candidates: Vec::new(), stages: None };
    };
    let head_pool = stage_pools.into_iter().find(|pool| pool.layers == head.layers);
    let candidates = head_pool.map(|pool| pool.candidates).unwrap_or_default();
    Candidates { candidates, stages: Some(rest.iter().map(targets).collect()) }
}

fn targets(stage: &PlannedStage) -> StageTargets {
    StageTargets(stage.agents.clone())
}
