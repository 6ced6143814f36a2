//! Records of the engines that hold leading parts of prompts.

mod engine_fixtures;

use clementine_decide::fleet::{Backend, Fleet};
use clementine_decide::ids::{BackendId, PromptPart, Tick};
use clementine_decide::paths::PathCandidate;
use clementine_decide::prefixes::{
    EngineCache, LeadingPart, MAX_HOLDERS, MAX_HOLDERS_PER_PREFIX, MAX_PREFIXES, MAX_RETENTION,
    PrefixAffinity, PrefixIndex, PromptPrefix,
};
use clementine_objects::Millis;
use engine_fixtures::{backend, candidate, range};

const KEPT: Millis = Millis(3_000);

fn prefix(parts: &[(u64, u32)]) -> PromptPrefix {
    let parts =
        parts.iter().map(|(id, tokens)| LeadingPart { id: PromptPart(*id), tokens: *tokens });
    PromptPrefix::new(&parts.collect::<Vec<_>>())
}

/// Two engines that hold all layers.
struct Engines {
    fleet: Fleet,
    index: PrefixIndex,
}

impl Engines {
    fn new() -> Self {
        let mut fleet = Fleet::default();
        for n in 0..2 {
            fleet.upsert(row(n, 1), Tick(0));
        }
        Self { fleet, index: PrefixIndex::default() }
    }

    fn cache(&self, n: usize) -> EngineCache {
        let member = self.fleet.get(&id(n)).expect("a listed engine");
        EngineCache {
            engine: id(n),
            generation: member.cache_generation(),
            layers: member.backend.layers.expect("layers"),
        }
    }

    /// Runs a request on engine 0 and returns the cache that it used.
    fn run(&mut self, prefix: &PromptPrefix, now: Tick) -> EngineCache {
        let cache = self.cache(0);
        self.index.begin(prefix, std::slice::from_ref(&cache), now);
        self.index.set_held(prefix, std::slice::from_ref(&cache), now);
        cache
    }

    fn end(&mut self, prefix: &PromptPrefix, cache: &EngineCache, retention: Millis, now: Tick) {
        self.index.end(prefix, std::slice::from_ref(cache), retention, now);
    }

    /// Tokens that engines 0 and 1 are expected to hold of a prompt.
    fn cached(&self, prefix: &PromptPrefix, now: Tick) -> [u32; 2] {
        let mut candidates = [0, 1].map(|n| candidate(n, "a", range(0, 80)));
        self.cached_of(prefix, &mut candidates, now)
    }

    fn cached_of(
        &self,
        prefix: &PromptPrefix,
        candidates: &mut [PathCandidate; 2],
        now: Tick,
    ) -> [u32; 2] {
        self.index.mark_cached(prefix, &self.fleet, candidates, now);
        [0, 1].map(|n| candidates[n].cached_tokens(range(0, 80)) as u32)
    }
}

fn id(n: usize) -> BackendId {
    format!("engine-{n}").as_str().into()
}

fn row(n: usize, started_ms: u64) -> Backend {
    let listed = backend(id(n).as_str(), "model");
    Backend { layers: Some(range(0, 80)), started_ms: Some(started_ms), ..listed }
}

/// Guards against counting parts after the first one that differs, and a part that
/// follows another one than before.
#[test]
fn the_longest_run_of_leading_parts_counts() {
    let mut engines = Engines::new();
    engines.run(&prefix(&[(1, 800), (2, 400), (3, 100)]), Tick(0));
    for (parts, expected) in [
        (vec![(1, 800), (2, 400), (3, 100), (4, 50)], 1_300),
        (vec![(1, 800), (2, 400), (9, 100)], 1_200),
        (vec![(1, 800), (9, 400), (3, 100)], 800),
        (vec![(1, 800)], 800),
        (vec![(2, 400), (3, 100)], 0),
        (vec![(2, 400), (1, 800)], 0),
        (vec![(1, 700), (2, 400)], 0),
        (vec![], 0),
    ] {
        assert_eq!(engines.cached(&prefix(&parts), Tick(1)), [expected, 0], "{parts:?}");
    }
}

/// Guards against counting on parts that are not prefilled yet, or never were because
/// the engine refused the request.
#[test]
fn parts_are_held_once_a_request_with_them_is_prefilled() {
    let mut engines = Engines::new();
    let (parts, cache) = (prefix(&[(1, 800)]), engines.cache(0));
    engines.index.begin(&parts, std::slice::from_ref(&cache), Tick(0));
    assert_eq!(engines.cached(&parts, Tick(5)), [0, 0]);
    engines.end(&parts, &cache, KEPT, Tick(6));
    assert_eq!(engines.cached(&parts, Tick(7)), [0, 0]);
    assert_eq!((engines.index.prefix_count(), engines.index.holder_count()), (0, 0));
    engines.run(&parts, Tick(8));
    assert_eq!(engines.cached(&parts, Tick(8)), [800, 0]);
}

/// Guards against records that outlive what the engine keeps: without a retention
/// period that is the last request with the parts, and never more than 10 s after it.
#[test]
fn records_expire_after_the_last_request() {
    for (retention, kept) in [(Millis(0), Millis(0)), (KEPT, KEPT), (Millis(60_000), MAX_RETENTION)]
    {
        let mut engines = Engines::new();
        let parts = prefix(&[(1, 800)]);
        let first = engines.run(&parts, Tick(0));
        engines.run(&parts, Tick(100));
        engines.end(&parts, &first, retention, Tick(200));
        let long_after = Tick(50_000);
        assert_eq!(engines.cached(&parts, long_after), [800, 0], "one is still running");
        engines.end(&parts, &first, retention, long_after);
        if kept.0 > 0 {
            let last = long_after.after(Millis(kept.0 - 1));
            assert_eq!(engines.cached(&parts, last), [800, 0]);
        }
        assert_eq!(engines.cached(&parts, long_after.after(kept)), [0, 0]);
        // The expired record must not make a new request count as prefilled.
        let later = long_after.after(kept).after(Millis(1));
        engines.index.begin(&parts, &[first], later);
        assert_eq!(engines.cached(&parts, later), [0, 0]);
    }
}

/// Guards against a refused request that prolongs the record of an earlier one, or ends
/// the retention period of one that ended meanwhile.
#[test]
fn a_request_that_is_not_prefilled_leaves_the_retention_period_as_it_is() {
    let mut engines = Engines::new();
    let parts = prefix(&[(1, 800)]);
    let cache = engines.run(&parts, Tick(0));
    engines.index.begin(&parts, std::slice::from_ref(&cache), Tick(500));
    engines.end(&parts, &cache, KEPT, Tick(1_000));
    engines.end(&parts, &cache, Millis(0), Tick(1_500));
    assert_eq!(engines.cached(&parts, Tick(3_999)), [800, 0]);
    engines.index.begin(&parts, std::slice::from_ref(&cache), Tick(3_900));
    engines.end(&parts, &cache, Millis(0), Tick(3_950));
    assert_eq!(engines.cached(&parts, Tick(3_999)), [800, 0]);
    assert_eq!(engines.cached(&parts, Tick(4_000)), [0, 0]);
}

/// Guards against records of a cache that the engine has lost.
#[test]
fn an_engine_that_loses_its_cache_loses_its_records() {
    type Loss = fn(&mut Fleet);
    let losses: [(&str, Loss); 5] = [
        ("restarted", |fleet| {
            fleet.upsert(row(0, 2), Tick(5));
        }),
        ("down and up again", |fleet| {
            let member = fleet.get_mut(&id(0)).expect("listed");
            member.set_down(true);
            member.set_down(false);
        }),
        ("other layers reported", |fleet| {
            let member = fleet.get_mut(&id(0)).expect("listed");
            member.apply_report(Some(range(0, 40)), 1);
            member.apply_report(Some(range(0, 80)), 2);
        }),
        ("other layers listed", |fleet| {
            let layers = Some(range(0, 40));
            fleet.upsert(Backend { layers, ..row(0, 1) }, Tick(5));
            fleet.upsert(row(0, 1), Tick(6));
        }),
        ("listed again", |fleet| {
            fleet.remove(&id(0), Tick(5));
            fleet.upsert(row(0, 1), Tick(6));
        }),
    ];
    for (name, lose) in losses {
        let mut engines = Engines::new();
        let parts = prefix(&[(1, 800)]);
        let cache = engines.run(&parts, Tick(0));
        lose(&mut engines.fleet);
        assert_eq!(engines.cached(&parts, Tick(10)), [0, 0], "{name}");
        engines.end(&parts, &cache, KEPT, Tick(11));
        assert_eq!(engines.cached(&parts, Tick(12)), [0, 0], "{name}");
        engines.run(&parts, Tick(13));
        assert_eq!(engines.cached(&parts, Tick(14)), [800, 0], "{name}");
    }
}

/// Guards against records that are lost with a report that changes nothing.
#[test]
fn an_unchanged_engine_keeps_its_records() {
    let mut engines = Engines::new();
    let parts = prefix(&[(1, 800)]);
    engines.run(&parts, Tick(0));
    let member = engines.fleet.get_mut(&id(0)).expect("listed");
    member.apply_report(Some(range(0, 80)), 3);
    member.set_down(false);
    let slots = 9;
    engines.fleet.upsert(Backend { slots, ..row(0, 1) }, Tick(5));
    assert_eq!(engines.cached(&parts, Tick(6)), [800, 0]);
}

/// Guards against a saving in layers that the engine did not run for the parts.
#[test]
fn a_saving_counts_only_in_the_layers_that_ran() {
    let mut engines = Engines::new();
    let parts = prefix(&[(1, 800)]);
    let cache = EngineCache { layers: range(20, 60), ..engines.cache(0) };
    engines.index.begin(&parts, std::slice::from_ref(&cache), Tick(0));
    engines.index.set_held(&parts, &[cache], Tick(0));
    let mut candidates = [candidate(0, "a", range(0, 80))];
    assert!(engines.index.mark_cached(&parts, &engines.fleet, &mut candidates, Tick(1)));
    let cached = |from, end| candidates[0].cached_tokens(range(from, end)) as u32;
    assert_eq!([cached(20, 60), cached(30, 40), cached(20, 59)], [800; 3]);
    assert_eq!([cached(0, 80), cached(19, 60), cached(20, 61), cached(60, 80)], [0; 4]);
}

/// Guards against counting on prompts that the engine evicts to make room.
#[test]
fn an_engine_with_a_nearly_full_cache_holds_nothing() {
    let mut engines = Engines::new();
    let parts = prefix(&[(1, 800)]);
    engines.run(&parts, Tick(0));
    for (fill, expected) in [(0.0, 800), (0.8, 800), (0.81, 0), (1.2, 0)] {
        let mut candidates = [0, 1].map(|n| candidate(n, "a", range(0, 80)));
        candidates[0].used_tokens = fill * candidates[0].capacity_tokens;
        let cached = engines.cached_of(&parts, &mut candidates, Tick(1));
        assert_eq!(cached, [expected, 0], "{fill}");
    }
}

/// Guards against an index that grows with the number of prompts and engines. The
/// parts that are used again stay.
#[test]
fn the_index_is_bounded() {
    let mut engines = Engines::new();
    let (kept, cache) = (prefix(&[(u64::MAX, 800)]), engines.cache(0));
    for n in 0..MAX_PREFIXES as u64 * 3 {
        engines.run(&prefix(&[(n, 100)]), Tick(n));
        engines.run(&kept, Tick(n));
        assert!(engines.index.prefix_count() <= MAX_PREFIXES);
    }
    let now = Tick(MAX_PREFIXES as u64 * 3);
    assert_eq!(engines.cached(&kept, now), [800, 0]);
    assert_eq!(engines.cached(&prefix(&[(0, 100)]), now), [0, 0]);

    let mut index = PrefixIndex::default();
    let of = |n: usize| EngineCache { engine: id(n), ..cache.clone() };
    let many: Vec<EngineCache> = (0..200).map(of).collect();
    index.begin(&kept, &many, now);
    assert_eq!(index.holder_count(), MAX_HOLDERS_PER_PREFIX);
    for n in 0..2_000 {
        index.begin(&prefix(&[(n, 100)]), &many[..50], now);
        assert!(index.holder_count() <= MAX_HOLDERS);
    }
    // The end of a request whose records are gone changes nothing.
    for n in 0..2_000 {
        index.end(&prefix(&[(n, 100)]), &many[..50], KEPT, now);
    }
    index.end(&kept, &many, KEPT, now);
    assert_eq!((index.prefix_count(), index.holder_count()), (0, 0));
}

#[test]
fn other_values_of_the_setting_are_errors() {
    assert_eq!(PrefixAffinity::default(), PrefixAffinity::On);
    assert_eq!("on".parse(), Ok(PrefixAffinity::On));
    assert_eq!("off".parse(), Ok(PrefixAffinity::Off));
    for value in ["", "true", "On", "offf"] {
        let error = value.parse::<PrefixAffinity>().expect_err("neither on nor off");
        assert_eq!(error.to_string(), format!("`{value}` is neither `on` nor `off`"));
    }
}
