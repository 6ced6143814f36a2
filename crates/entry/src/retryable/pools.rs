//! Selection of the pools and agents that can execute a request.

use clementine_decide::balance::Candidate;
use clementine_decide::ids::{Tick, WorkId};
use clementine_decide::stage::{HeadGeneration, PlannedStage, StagePool, plan_chain};
use clementine_objects::{Catalog, LayerRange, Model, PoolName};
use clementine_wire::{SplitPlan, StageTargets};

use crate::fleet::Fleet;

/// Pools that can execute a request.
#[derive(Debug, Clone)]
pub(super) enum EligiblePools {
    /// Any backend server of these pools can execute the entire request.
    Unsplit(Vec<PoolName>),
    /// The request is executed by a chain of engines, each with a range of layers.
    Split {
        /// Number of layers of the model.
        layers: u32,
        /// Pools with the layer ranges of their engines.
        pools: Vec<(PoolName, LayerRange)>,
        /// Id of the request at all stages.
        work: WorkId,
    },
}

/// Candidates for an attempt. For a split model, the candidates are those of the
/// first stage, and `stages` contains the agents of the later ones.
#[derive(Debug)]
pub(super) struct Candidates {
    pub(super) candidates: Vec<Candidate>,
    pub(super) stages: Option<Vec<StageTargets>>,
}

impl EligiblePools {
    /// Selects the pools of a model. Pools whose engines have all layers take
    /// precedence over chains.
    pub(super) fn for_model(catalog: &Catalog, model: &Model, work: WorkId) -> Self {
        let pools = || model.pools.iter().filter_map(|name| catalog.pool(name));
        let unsplit: Vec<_> =
            pools().filter(|pool| pool.layers.is_none()).map(|pool| pool.name.clone()).collect();
        if !unsplit.is_empty() {
            return Self::Unsplit(unsplit);
        }
        let ranged = pools().filter_map(|pool| Some((pool.name.clone(), pool.layers?)));
        Self::Split { layers: model.layers, pools: ranged.collect(), work }
    }

    /// Returns the candidates that currently accept work.
    pub(super) fn candidates(&self, fleet: &Fleet, now: Tick) -> Candidates {
        match self {
            Self::Unsplit(pools) => {
                let candidates = pools.iter().flat_map(|pool| fleet.candidates(pool, now));
                Candidates { candidates: candidates.collect(), stages: None }
            }
            Self::Split { layers, pools, .. } => split_candidates(fleet, *layers, pools, now),
        }
    }

    /// Returns the names of all pools.
    pub(super) fn names(&self) -> Vec<PoolName> {
        match self {
            Self::Unsplit(pools) => pools.clone(),
            Self::Split { pools, .. } => pools.iter().map(|(name, _)| name.clone()).collect(),
        }
    }

    /// Builds the plan of an attempt; `None` if the model is not split.
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
