//! Paths of requests whose leading parts some engines hold.

mod engine_fixtures;

use std::time::{Duration, Instant};

use clementine_decide::fleet::{Backend, EngineSpec, Fleet};
use clementine_decide::ids::{BackendId, PromptPart, Tick};
use clementine_decide::paths::{
    Demand, LinkUsage, PathCandidate, PathPurpose, PathSearch, PathTargets,
};
use clementine_decide::prefixes::{EngineCache, LeadingPart, PrefixIndex, PromptPrefix};
use clementine_objects::Millis;
use engine_fixtures::{LAYERS, backend, candidate, range, spec};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DEMAND: Demand = Demand { prompt_tokens: 1_000.0, output_tokens: 100.0 };
const TARGETS: PathTargets = PathTargets {
    first_event: Some(Millis(600)),
    gap: Some(Millis(250)),
    time_left: Some(Millis(15_000)),
};
const CACHED_TOKENS: f64 = 800.0;

fn search<'a>(
    spec: &'a EngineSpec,
    candidates: &'a [PathCandidate],
    links: &'a LinkUsage,
) -> PathSearch<'a> {
    PathSearch {
        spec,
        candidates,
        links,
        demand: DEMAND,
        targets: TARGETS,
        purpose: PathPurpose::NewRequest,
        entries: 1,
        allowed_first: &[],
        current_path: &[],
        now: Tick(1_000),
    }
}

/// Two equal engines with all layers. The first one holds most of the prompt, whose
/// prefill takes 800 ms, and others have left it with prefill work.
fn engines(backlog_ms: f64) -> Vec<PathCandidate> {
    let mut engines: Vec<PathCandidate> = (0..2)
        .map(|n| PathCandidate {
            prefill_ms_per_token: 1.0,
            step_ms: 1.0,
            ..candidate(n, "a", range(0, LAYERS))
        })
        .collect();
    engines[0].cached_prompt_tokens = CACHED_TOKENS;
    engines[0].cached_layers = Some(range(0, LAYERS));
    engines[0].prefill_backlog_ms = backlog_ms;
    engines
}

fn cheapest(engines: &[PathCandidate], demand: Demand) -> BackendId {
    let (spec, links) = (spec(), LinkUsage::default());
    let search = PathSearch { demand, ..search(&spec, engines, &links) };
    search.cheapest_path().expect("a path")[0].id.clone()
}

/// Guards against affinity that ignores the wait, and against a wait that hides a
/// larger saving.
#[test]
fn saving_and_wait_are_weighed_for_each_request() {
    assert_eq!(cheapest(&engines(700.0), DEMAND).as_str(), "engine-0", "the saving is larger");
    assert_eq!(cheapest(&engines(900.0), DEMAND).as_str(), "engine-1", "the wait is larger");
    // A short prompt can't save more than itself.
    let short = Demand { prompt_tokens: 300.0, output_tokens: 100.0 };
    assert_eq!(cheapest(&engines(200.0), short).as_str(), "engine-0");
    assert_eq!(cheapest(&engines(400.0), short).as_str(), "engine-1");
}

/// Guards against a saving in layers that the engine has not run for the prompt: with one,
/// the engine would run all layers.
#[test]
fn layers_without_the_prompt_save_nothing() {
    let mut engines = engines(100.0);
    let (cached, other) = (range(0, LAYERS / 2), range(LAYERS / 2, LAYERS));
    engines[0].cached_layers = Some(cached);
    let (spec, links) = (spec(), LinkUsage::default());
    let path = search(&spec, &engines, &links).cheapest_path().expect("a path");
    let stages: Vec<_> = path.iter().map(|stage| (stage.id.as_str(), stage.layers)).collect();
    assert_eq!(stages, [("engine-0", cached), ("engine-1", other)]);
    // The wait for half of the layers is longer than what is saved in them.
    engines[0].prefill_backlog_ms = 500.0;
    assert_eq!(cheapest(&engines, DEMAND).as_str(), "engine-1");
}

/// Guards against a prefill backlog that counts tokens which aren't prefilled.
#[test]
fn saved_tokens_are_no_load() {
    let (spec, links, engines) = (spec(), LinkUsage::default(), engines(0.0));
    let search = search(&spec, &engines, &links);
    let path = search.cheapest_path().expect("a path");
    let load = search.path_load(&path);
    assert_eq!(load.prefills[0].id.as_str(), "engine-0");
    assert!((load.prefills[0].ms - 200.0).abs() < 1e-6, "{load:?}");
}

/// Guards against counting savings that did not decide, and against a choice that
/// differs for the same state of the generator.
#[test]
fn the_choice_reports_what_the_cache_changed() {
    let (spec, links) = (spec(), LinkUsage::default());
    let (mut displaced, mut saved) = (0, 0);
    for seed in 0..200 {
        let engines = engines(0.0);
        let search = search(&spec, &engines, &links);
        let choose =
            || search.choose_cached_path(&mut SmallRng::seed_from_u64(seed)).expect("a path");
        let chosen = choose();
        assert_eq!(chosen, choose());
        let on_holder = chosen.path.stages[0].id.as_str() == "engine-0";
        let expected = if on_holder { CACHED_TOKENS } else { 0.0 };
        assert!((chosen.saved_tokens - expected).abs() < 1e-6, "{chosen:?}");
        assert!(on_holder || !chosen.is_displaced);
        displaced += u32::from(chosen.is_displaced);
        saved += u32::from(on_holder);
    }
    assert!(saved > 150, "{saved} of 200 went to the engine that holds the prompt");
    assert!(displaced > 50 && displaced < saved, "{displaced} of {saved}");
}

/// Guards against a request with nothing cached that is placed differently because of
/// the feature, or counts as placed by it.
#[test]
fn without_cached_parts_nothing_changes() {
    let (spec, links) = (spec(), LinkUsage::default());
    let mut engines = engines(0.0);
    engines[0].cached_prompt_tokens = 0.0;
    engines[0].cached_layers = None;
    let search = search(&spec, &engines, &links);
    let mut first = 0;
    for seed in 0..1_000 {
        let rng = &mut SmallRng::seed_from_u64(seed);
        let chosen = search.choose_cached_path(rng).expect("a path");
        assert!(!chosen.is_displaced && chosen.saved_tokens == 0.0);
        first += u32::from(chosen.path.stages[0].id.as_str() == "engine-0");
    }
    assert!((400..600).contains(&first), "{first} of 1,000 on one of two equal engines");
}

/// Engines of a model in two stages, as listed, with their layers loaded.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for n in 0..count {
        let layers = if n % 2 == 0 { range(0, 40) } else { range(40, LAYERS) };
        let listed = backend(&format!("engine-{n}"), "model");
        let accelerator = Some("large".into());
        let row = Backend { layers: Some(layers), accelerator, slots: 192, ..listed };
        fleet.upsert(row, Tick(0));
    }
    fleet
}

fn caches(fleet: &Fleet, engines: impl Iterator<Item = usize>) -> Vec<EngineCache> {
    let members = engines.filter_map(|n| fleet.get(&format!("engine-{n}").as_str().into()));
    let caches = members.map(|member| EngineCache {
        engine: member.backend.id.clone(),
        generation: member.cache_generation(),
        layers: member.backend.layers.expect("layers"),
    });
    caches.collect()
}

fn parts(count: u64) -> PromptPrefix {
    let parts = (0..count).map(|n| LeadingPart { id: PromptPart(n), tokens: 100 });
    PromptPrefix::new(&parts.collect::<Vec<_>>())
}

/// Guards against a cached prompt that brings back an engine which is draining, has
/// asked to be left alone, is down, or has no free slot.
#[test]
fn an_engine_that_must_not_be_used_stays_excluded() {
    type Exclude = fn(&mut Fleet, &BackendId);
    let exclusions: [(&str, Exclude); 4] = [
        ("down", |fleet, id| {
            fleet.get_mut(id).expect("listed").set_down(true);
        }),
        ("draining", |fleet, id| {
            fleet.get_mut(id).expect("listed").set_leaving(true);
        }),
        ("retry delay", |fleet, id| {
            fleet.get_mut(id).expect("listed").record_failure(Tick(999));
        }),
        ("no free slot", |fleet, id| fleet.get_mut(id).expect("listed").remote_first_stages = 192),
    ];
    let (spec, links, prefix) = (spec(), LinkUsage::default(), parts(8));
    for (name, exclude) in exclusions {
        let mut fleet = fleet(4);
        let holder: BackendId = "engine-0".into();
        let mut index = PrefixIndex::default();
        let held = caches(&fleet, 0..1);
        index.begin(&prefix, &held, Tick(0));
        index.set_held(&prefix, &held, Tick(0));
        exclude(&mut fleet, &holder);
        let now = Tick(1_000);
        let mut candidates = fleet.path_candidates(&"model".into(), &spec, now, &[]);
        index.mark_cached(&prefix, &fleet, &mut candidates, now);
        let search = search(&spec, &candidates, &links);
        for seed in 0..100 {
            let rng = &mut SmallRng::seed_from_u64(seed);
            let chosen = search.choose_cached_path(rng).expect("a path");
            assert!(chosen.path.stages.iter().all(|stage| stage.id != holder), "{name}");
        }
    }
}

/// Median times of a request with four shared parts of which many engines hold all: of
/// marking the candidates, and of the choice among them.
fn median_times(count: usize) -> [Duration; 2] {
    let (spec, prefix, now) = (spec(), parts(4), Tick(1_000));
    let fleet = fleet(count);
    let mut index = PrefixIndex::default();
    let held = caches(&fleet, 0..40);
    index.begin(&prefix, &held, Tick(0));
    index.set_held(&prefix, &held, Tick(0));
    let candidates = fleet.path_candidates(&"model".into(), &spec, now, &[]);
    assert_eq!(candidates.len(), count);
    let links = LinkUsage::default();
    let mut times = [Vec::new(), Vec::new()];
    for seed in 0..101 {
        let mut marked = candidates.clone();
        let rng = &mut SmallRng::seed_from_u64(seed);
        let begun = Instant::now();
        assert!(index.mark_cached(&prefix, &fleet, &mut marked, now));
        times[0].push(begun.elapsed());
        let begun = Instant::now();
        let search = search(&spec, &marked, &links);
        assert!(search.choose_cached_path(rng).is_some());
        times[1].push(begun.elapsed());
    }
    times.map(|mut times| {
        times.sort();
        times[times.len() / 2]
    })
}

/// Guards against a decision that takes longer than it may. Without optimizations it
/// takes 13 times as long; the limit then leaves room for tests that run meanwhile.
#[test]
fn the_decision_is_fast() {
    let slower = if cfg!(debug_assertions) { 30 } else { 1 };
    let limit = Duration::from_micros(50) * slower;
    let (few, many) = (median_times(130), median_times(1_300));
    println!("lookup and choice: 130 engines {few:?}, 1,300 engines {many:?}");
    assert!(few[0] + few[1] < limit, "130 engines: {few:?}");
    assert!(many[0] + many[1] < limit * 5, "1,300 engines: {many:?}");
}
