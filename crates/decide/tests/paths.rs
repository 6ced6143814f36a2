//! Path search: complete coverage of the layers, cost, capacity limits and
//! re-routing around lost engines.

mod engine_fixtures;
mod seeded;

use clementine_decide::ids::Tick;
use clementine_decide::paths::{
    Demand, Link, LinkUsage, PathCandidate, PathPurpose, PathSearch, PathStage, transfer_bytes,
};
use engine_fixtures::{LAYERS, candidate, new_request, range, spec};
use seeded::seeded;

const DEMAND: Demand = Demand { prompt_tokens: 760.0, output_tokens: 168.0 };

fn search(
    candidates: &[PathCandidate],
    links: &LinkUsage,
    first: &[&str],
    current_path: &[PathStage],
) -> Option<Vec<PathStage>> {
    let first: Vec<_> = first.iter().map(|id| (*id).into()).collect();
    let is_running = !current_path.is_empty();
    let spec = spec();
    let search = PathSearch {
        purpose: if is_running { PathPurpose::Repair } else { PathPurpose::NewRequest },
        allowed_first: &first,
        current_path,
        ..new_request(&spec, candidates, links, DEMAND)
    };
    search.cheapest_path()
}

fn cheapest(candidates: &[PathCandidate]) -> Option<Vec<PathStage>> {
    search(candidates, &LinkUsage::default(), &[], &[])
}

fn ids(path: &[PathStage]) -> Vec<&str> {
    path.iter().map(|stage| stage.id.as_str()).collect()
}

/// Two failure domains of two engines, each of which holds half of the layers.
fn two_domains() -> Vec<PathCandidate> {
    vec![
        candidate(0, "a", range(0, 40)),
        candidate(1, "a", range(40, 80)),
        candidate(2, "b", range(0, 40)),
        candidate(3, "b", range(40, 80)),
    ]
}

/// Whether a path runs each layer exactly once and in order, on engines that
/// hold it, without using an engine twice.
fn is_valid(path: &[PathStage], candidates: &[PathCandidate]) -> bool {
    let joined = path.windows(2).all(|pair| pair[0].layers.end() == pair[1].layers.first());
    let ends = path.first().is_some_and(|stage| stage.layers.first() == 0)
        && path.last().is_some_and(|stage| stage.layers.end() == LAYERS);
    let held = path.iter().all(|stage| {
        let candidate = candidates.iter().find(|candidate| candidate.id == stage.id);
        candidate.is_some_and(|candidate| {
            candidate.layers.first() <= stage.layers.first()
                && stage.layers.end() <= candidate.layers.end()
        })
    });
    let mut seen = ids(path);
    seen.sort_unstable();
    seen.dedup();
    joined && ends && held && seen.len() == path.len()
}

#[test]
fn path_stays_within_one_domain() {
    let mut candidates = two_domains();
    candidates[2].step_ms = 9.8;
    candidates[1].step_ms = 9.8;
    let path = cheapest(&candidates).expect("a path");
    let first = candidates.iter().find(|candidate| candidate.id == path[0].id).expect("known");
    let last = candidates.iter().find(|candidate| candidate.id == path[1].id).expect("known");
    assert_eq!(first.domain, last.domain);
}

#[test]
fn engines_without_free_kv_cache_are_skipped() {
    let mut candidates = two_domains();
    candidates[0].used_tokens = 59_000.0;
    assert_eq!(ids(&cheapest(&candidates).expect("a path")), ["engine-2", "engine-3"]);
    candidates[3].used_tokens = 59_000.0;
    // Each domain lacks one half of the layers, so the path must cross domains.
    assert_eq!(ids(&cheapest(&candidates).expect("a path")), ["engine-2", "engine-1"]);
    candidates[1].used_tokens = 59_000.0;
    assert!(cheapest(&candidates).is_none());
}

#[test]
fn link_utilization_stays_below_the_limit() {
    let mut candidates = two_domains();
    candidates[0].used_tokens = 59_000.0;
    candidates[3].used_tokens = 59_000.0;
    let mut links = LinkUsage::default();
    let link = Link::between(&"a".into(), &"b".into());
    let request = transfer_bytes(&spec(), DEMAND);
    let mut transfers = 0;
    while search(&candidates, &links, &[], &[]).is_some() {
        links.add(link.clone(), request, Tick(0));
        transfers += 1;
    }
    let utilization = f64::from(transfers) * request / 1_000.0 / spec().domain_link_bytes_per_ms;
    assert!(
        (0.6..0.65).contains(&utilization),
        "{transfers} requests within a second: utilization {utilization}"
    );
    // The average decays by a factor of e per second.
    assert!(links.total(&link, Tick(1_000)) < 0.4 * links.total(&link, Tick(0)));
}

#[test]
fn first_engine_can_be_restricted() {
    let candidates = two_domains();
    let path = search(&candidates, &LinkUsage::default(), &["engine-2"], &[]).expect("a path");
    assert_eq!(ids(&path)[0], "engine-2");
}

#[test]
fn repath_avoids_the_lost_engine_and_keeps_the_first_stage() {
    let mut candidates = vec![
        candidate(0, "a", range(0, 30)),
        candidate(1, "a", range(30, 60)),
        candidate(2, "a", range(60, 80)),
        candidate(3, "a", range(25, 62)),
    ];
    candidates[3].step_ms = 30.0;
    let current_path = cheapest(&candidates).expect("a path");
    let lost = current_path[1].id.clone();
    let remaining: Vec<PathCandidate> =
        candidates.iter().filter(|candidate| candidate.id != lost).cloned().collect();
    let new_path = search(&remaining, &LinkUsage::default(), &[], &current_path).expect("a path");
    assert_eq!(new_path[0], current_path[0]);
    assert!(is_valid(&new_path, &remaining) && !ids(&new_path).contains(&lost.as_str()));
}

#[test]
fn running_request_keeps_its_path_when_the_kv_cache_is_full() {
    let mut candidates = two_domains();
    let current_path = cheapest(&candidates).expect("a path");
    for candidate in &mut candidates {
        candidate.used_tokens = 60_000.0;
    }
    assert!(cheapest(&candidates).is_none());
    assert_eq!(search(&candidates, &LinkUsage::default(), &[], &current_path), Some(current_path));
}

fn shortages(candidates: &[PathCandidate]) -> Vec<String> {
    let (spec, links) = (spec(), LinkUsage::default());
    let search = new_request(&spec, candidates, &links, DEMAND);
    assert_eq!(search.cheapest_path(), None);
    search.shortages().iter().map(ToString::to_string).collect()
}

#[test]
fn layers_without_room_or_holder_are_reported() {
    let mut candidates = two_domains();
    candidates[1].used_tokens = 59_500.0;
    candidates.remove(3);
    let expected = ["a:cache,layer=40,holders=1,room=500", "b:holders,layer=40"];
    assert_eq!(shortages(&candidates), expected);
}

/// Guards against a log line that names a layer with ample KV cache while the slots of
/// the first engines have run out.
#[test]
fn exhausted_slots_of_first_engines_are_reported() {
    let mut candidates = two_domains();
    candidates[0].free_slots = 0;
    candidates[0].used_tokens = 30_000.0;
    candidates[2].free_slots = 0;
    candidates[3].used_tokens = 59_900.0;
    let expected = [
        "a:first-slots,holders=1",
        "b:first-slots,holders=1",
        "b:cache,layer=40,holders=1,room=100",
    ];
    assert_eq!(shortages(&candidates), expected);
}

#[test]
fn every_path_is_valid() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
    fn holds(engines: Vec<(u8, u8, u8, u8)>) -> bool {
        let domains = ["a", "b", "c"];
        let candidates: Vec<PathCandidate> = engines
            .iter()
            .enumerate()
            .map(|(n, (from, count, domain, used))| {
                let from = u32::from(*from) % LAYERS;
                let end = (from + 1 + u32::from(*count) % 40).min(LAYERS);
                let mut engine = candidate(n, domains[*domain as usize % 3], range(from, end));
                engine.used_tokens = f64::from(*used) * 250.0;
                engine
            })
            .collect();
        cheapest(&candidates).is_none_or(|path| is_valid(&path, &candidates))
    }
    seeded(43_009).quickcheck(holds as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

#[test]
fn first_stage_needs_a_free_slot_even_if_a_faster_engine_exists() {
    let mut candidates = two_domains();
    candidates[0].step_ms /= 10.0;
    candidates[1].step_ms /= 10.0;
    assert_eq!(ids(&cheapest(&candidates).expect("a path"))[0], "engine-0");
    candidates[0].free_slots = 0;
    assert_eq!(ids(&cheapest(&candidates).expect("a path"))[0], "engine-2");
}

#[test]
fn running_request_keeps_its_slot_on_the_first_engine() {
    let mut candidates = two_domains();
    let path = cheapest(&candidates).expect("a path");
    for candidate in &mut candidates {
        candidate.free_slots = 0;
    }
    assert_eq!(cheapest(&candidates), None);
    let new_path = search(&candidates, &LinkUsage::default(), &[], &path).expect("a path");
    assert_eq!(new_path[0], path[0]);
}

/// Prompts of other requests keep a link busy for a fifth of the time. Each token
/// of a request that crosses it waits behind them.
#[test]
fn faster_engines_behind_a_busy_link_are_not_used() {
    let mut candidates =
        vec![candidate(0, "a", range(0, 40)), candidate(1, "a", range(40, LAYERS))];
    candidates.push(candidate(2, "b", range(40, LAYERS)));
    candidates[1].step_ms = 12.0;
    let spec = spec();
    let mut links = LinkUsage::default();
    let path = search(&candidates, &links, &[], &[]).expect("a path");
    assert_eq!(ids(&path), ["engine-0", "engine-2"], "the link is idle");
    let link = Link::between(&"a".into(), &"b".into());
    links.set_remote([(link, 0.2 * spec.domain_link_bytes_per_ms)].into());
    let path = search(&candidates, &links, &[], &[]).expect("a path");
    assert_eq!(ids(&path), ["engine-0", "engine-1"]);
}
