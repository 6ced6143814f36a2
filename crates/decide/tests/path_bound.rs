//! Loss bound: engines that carry more context than the others could prefill again
//! within the target gap.

mod engine_fixtures;

use clementine_decide::ids::Tick;
use clementine_decide::paths::{
    ChosenPath, Demand, LinkUsage, LossBound, PathCandidate, PathPurpose, PathSearch, PathTargets,
    Relaxation,
};
use clementine_objects::Millis;
use engine_fixtures::{LAYERS, candidate, range, spec};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DEMAND: Demand = Demand { prompt_tokens: 760.0, output_tokens: 168.0 };
const GAP: Option<Millis> = Some(Millis(250));
const SEARCHES: usize = 200;

/// Chooses paths one after another without counting their load.
fn paths(candidates: &[PathCandidate], gap: Option<Millis>) -> Vec<ChosenPath> {
    let (spec, links) = (spec(), LinkUsage::default());
    let mut rng = SmallRng::seed_from_u64(3);
    let search = PathSearch {
        spec: &spec,
        candidates,
        links: &links,
        demand: DEMAND,
        targets: PathTargets { gap, ..PathTargets::default() },
        purpose: PathPurpose::NewRequest,
        entries: 28,
        allowed_first: &[],
        current_path: &[],
        now: Tick(0),
    };
    (0..SEARCHES).map(|_| search.choose_path(&mut rng).expect("a path")).collect()
}

/// Fraction of the paths that use an engine.
fn share(paths: &[ChosenPath], id: &str) -> f64 {
    let uses = |path: &&ChosenPath| path.stages.iter().any(|stage| stage.id.as_str() == id);
    paths.iter().filter(uses).count() as f64 / paths.len() as f64
}

/// Two engines with the first half of the layers and three with the second, of which
/// one is much faster.
fn engines() -> Vec<PathCandidate> {
    let mut engines: Vec<PathCandidate> = (0..2).map(|n| candidate(n, "a", range(0, 40))).collect();
    engines.extend((2..5).map(|n| candidate(n, "a", range(40, LAYERS))));
    engines[2].step_ms = 2.0;
    engines
}

/// Guards against the fastest engine taking all streams until its loss can't be
/// repaired within the target gap.
#[test]
fn an_engine_beyond_the_bound_is_not_chosen_while_there_is_another_path() {
    let mut engines = engines();
    engines[2].used_tokens = 20_000.0;
    assert!(share(&paths(&engines, GAP), "engine-2") > 0.8);
    engines[2].used_tokens = 40_000.0;
    let chosen = paths(&engines, GAP);
    assert!(share(&chosen, "engine-2") == 0.0);
    assert!(chosen.iter().all(|path| path.excess.is_none()));
}

/// Replacements that are slow at present need longer to prefill the same contexts.
#[test]
fn slow_replacements_lower_the_load_that_an_engine_may_carry() {
    let mut engines = engines();
    engines[2].used_tokens = 20_000.0;
    for engine in &mut engines[3..] {
        engine.prefill_ms_per_token *= 2.0;
    }
    assert!(share(&paths(&engines, GAP), "engine-2") == 0.0);
}

/// Guards against requests that are refused to keep the bound, and against paths
/// through the engines that are beyond it most.
#[test]
fn the_bound_is_relaxed_in_steps_rather_than_refusing() {
    let relaxations = |used: [f64; 3]| {
        let mut engines = engines();
        for (engine, used) in engines[2..].iter_mut().zip(used) {
            engine.used_tokens = used;
        }
        let chosen = paths(&engines, GAP);
        let excess = chosen.iter().map(|path| path.excess.as_ref().expect("beyond").relaxation());
        (share(&chosen, "engine-2"), excess.collect::<Vec<_>>())
    };
    // Repair times of 344, 228 and 228 ms; the bound is 150 ms.
    let (fastest, steps) = relaxations([45_000.0, 20_000.0, 20_000.0]);
    assert!(fastest == 0.0 && steps.iter().all(|step| *step == Relaxation::Double));
    let (_, steps) = relaxations([55_000.0, 50_000.0, 50_000.0]);
    assert!(steps.iter().all(|step| *step == Relaxation::Unbounded));
}

#[test]
fn the_only_holder_of_a_layer_is_used_and_reported() {
    let mut engines = engines();
    engines.remove(1);
    let chosen = paths(&engines, GAP);
    let excess = chosen[0].excess.as_ref().expect("beyond");
    assert_eq!(excess.engine.as_str(), "engine-0");
    assert!(excess.repair_ms.is_infinite() && excess.relaxation() == Relaxation::Unbounded);
    // The other layers stay within the bound.
    engines[1].used_tokens = 40_000.0;
    assert!(share(&paths(&engines, GAP), "engine-2") == 0.0);
}

#[test]
fn routes_without_a_target_gap_have_no_bound() {
    let mut engines = engines();
    engines[2].used_tokens = 40_000.0;
    let chosen = paths(&engines, None);
    assert!(share(&chosen, "engine-2") > 0.5);
    assert!(chosen.iter().all(|path| path.excess.is_none()));
    assert_eq!(LossBound::for_gap(Millis(100)), None, "the loss is found after the gap");
}
