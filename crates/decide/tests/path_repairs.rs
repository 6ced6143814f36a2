//! Repairs after the loss of an engine: all entries repair all of its runs at the
//! same moment, with views that are half a second old.

mod engine_fixtures;

use std::collections::BTreeMap;

use clementine_decide::ids::Tick;
use clementine_decide::paths::{
    Backlog, Demand, LinkUsage, PathCandidate, PathPurpose, PathSearch, PathStage, PathTargets,
};
use engine_fixtures::{LAYERS, candidate, range, spec};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENTRIES: u32 = 28;
const DEMAND: Demand = Demand { prompt_tokens: 840.0, output_tokens: 80.0 };

/// One entry's view of the engines.
struct Entry {
    candidates: Vec<PathCandidate>,
    links: LinkUsage,
    rng: SmallRng,
}

impl Entry {
    fn new(candidates: &[PathCandidate], seed: u64) -> Self {
        Self {
            candidates: candidates.to_vec(),
            links: LinkUsage::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Repairs a run and counts the load of the repair in this entry's view.
    fn repair(&mut self, current_path: &[PathStage]) -> Vec<PathStage> {
        let spec = spec();
        let search = PathSearch {
            spec: &spec,
            candidates: &self.candidates,
            links: &self.links,
            demand: DEMAND,
            targets: PathTargets::default(),
            purpose: PathPurpose::Repair,
            entries: ENTRIES,
            allowed_first: &[],
            current_path,
            now: Tick(0),
        };
        let path = search.choose_path(&mut self.rng).expect("a path").stages;
        let load = search.path_load(&path);
        for crossing in &load.crossings {
            self.links.add_repair(&crossing.link, crossing.repair_ms, Tick(0));
        }
        for work in &load.prefills {
            let engine = self.candidates.iter_mut().find(|engine| engine.id == work.id);
            engine.expect("known").prefill_backlog_ms += work.ms;
        }
        path
    }
}

fn stage(candidate: &PathCandidate) -> PathStage {
    PathStage { id: candidate.id.clone(), address: candidate.address, layers: candidate.layers }
}

/// Time in ms until the engines have done the prefills of all repairs, when each
/// entry repairs `runs` runs that have lost their second engine.
fn prefill_times(engines: &[PathCandidate], runs: usize) -> BTreeMap<String, f64> {
    let lost = candidate(99, "a", range(40, LAYERS));
    let current_path = [stage(&engines[0]), stage(&lost)];
    let spec = spec();
    let mut times = BTreeMap::new();
    for entry in 0..ENTRIES {
        let mut entry = Entry::new(engines, entry.into());
        for _ in 0..runs {
            let path = entry.repair(&current_path);
            assert_eq!(path[0], current_path[0], "the first stage is kept");
            for stage in &path[1..] {
                let engine = engines.iter().find(|engine| engine.id == stage.id).expect("known");
                let ms = DEMAND.prompt_tokens
                    * engine.prefill_ms_per_token
                    * spec.model_fraction(stage.layers.count());
                *times.entry(stage.id.to_string()).or_insert(0.0) += ms;
            }
        }
    }
    times
}

/// Five engines that hold the lost layers, the first of them a little faster.
fn holders() -> Vec<PathCandidate> {
    let mut engines = vec![candidate(0, "a", range(0, 40))];
    engines.extend((1..6).map(|n| candidate(n, "a", range(40, LAYERS))));
    engines[1].step_ms = 9.0;
    engines[1].prefill_ms_per_token = 0.018;
    engines
}

/// Guards against all entries taking the same replacement, where the last run waits
/// for the prefills of all others.
#[test]
fn repairs_of_all_entries_spread_over_all_engines_with_the_layers() {
    for runs in [1, 4] {
        let times = prefill_times(&holders(), runs);
        let total: f64 = times.values().sum();
        let longest = times.values().copied().fold(0.0, f64::max);
        assert_eq!(times.len(), 5, "{times:?}");
        assert!(longest < 1.6 * total / 5.0, "{runs} runs per entry: {times:?}");
    }
}

/// Guards against repairs that wait at slow engines while fast ones are idle.
#[test]
fn engines_get_repairs_in_proportion_to_their_prefill_speed() {
    let mut engines = holders();
    engines[5].prefill_ms_per_token *= 8.0;
    let times = prefill_times(&engines, 4);
    let total: f64 = times.values().sum();
    let longest = times.values().copied().fold(0.0, f64::max);
    assert!(longest < 2.0 * total / 5.0, "{times:?}");
}

#[test]
fn engines_with_little_free_kv_cache_get_few_repairs() {
    let mut engines = holders();
    engines[1].used_tokens = 54_000.0;
    let times = prefill_times(&engines, 1);
    let total: f64 = times.values().sum();
    assert!(times.get("engine-1").is_none_or(|ms| *ms < 0.1 * total), "{times:?}");
}

/// The context of a repair occupies a link for longer than an engine needs to
/// prefill it, so that repairs of all entries through one link would wait longer
/// than at the engines of their own failure domain.
#[test]
fn repairs_stay_in_their_failure_domain_while_its_engines_are_faster_than_the_link() {
    let mut engines = holders();
    for engine in &mut engines[4..] {
        engine.domain = "b".into();
    }
    let times = prefill_times(&engines, 2);
    let in_domain: f64 = ["engine-1", "engine-2", "engine-3"].map(|id| times[id]).iter().sum();
    assert!(in_domain > 0.8 * times.values().sum::<f64>(), "{times:?}");
}

#[test]
fn the_same_generator_gives_the_same_repairs() {
    assert_eq!(prefill_times(&holders(), 3), prefill_times(&holders(), 3));
}

#[test]
fn backlog_is_worked_off() {
    let mut backlog = Backlog::default();
    backlog.add(80.0, Tick(1_000));
    backlog.add(40.0, Tick(1_050));
    assert!((backlog.at(Tick(1_060)) - 60.0).abs() < 1e-9);
    assert!(backlog.at(Tick(1_200)).abs() < 1e-9);
    backlog.add(10.0, Tick(2_000));
    assert!((backlog.at(Tick(2_000)) - 10.0).abs() < 1e-9, "idle time is no credit");
}
