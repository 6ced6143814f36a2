//! Paths through the layers: whole, cheap, with room, and around losses.

mod engines_world;

use clementine_decide::ids::Tick;
use clementine_decide::paths::{
    Demand, Link, LinkUsage, PathCandidate, PathSearch, PathStage, bottlenecks, transfer_bytes,
};
use engines_world::{LAYERS, candidate, range, spec};
use quickcheck::quickcheck;

const DEMAND: Demand = Demand { prompt_tokens: 760.0, output_tokens: 168.0 };

fn search(
    candidates: &[PathCandidate],
    links: &LinkUsage,
    first: &[&str],
    current_path: &[PathStage],
) -> Option<Vec<PathStage>> {
    let first: Vec<_> = first.iter().map(|id| (*id).into()).collect();
    let spec = spec();
    let search = PathSearch {
        spec: &spec,
        candidates,
        links,
        demand: DEMAND,
        allowed_first: &first,
        current_path,
        now: Tick(0),
    };
    search.cheapest_path()
}

fn cheapest(candidates: &[PathCandidate]) -> Option<Vec<PathStage>> {
    search(candidates, &LinkUsage::default(), &[], &[])
}

fn ids(path: &[PathStage]) -> Vec<&str> {
    path.iter().map(|leg| leg.id.as_str()).collect()
}

/// Two engines in each of two domains, each with half of the layers.
fn two_domains() -> Vec<PathCandidate> {
    vec![
        candidate(0, "a", range(0, 40)),
        candidate(1, "a", range(40, 80)),
        candidate(2, "b", range(0, 40)),
        candidate(3, "b", range(40, 80)),
    ]
}

/// Whether a path runs every layer once and in order, at engines that hold it.
fn is_whole(path: &[PathStage], candidates: &[PathCandidate]) -> bool {
    let joined = path.windows(2).all(|pair| pair[0].layers.end() == pair[1].layers.first());
    let ends = path.first().is_some_and(|leg| leg.layers.first() == 0)
        && path.last().is_some_and(|leg| leg.layers.end() == LAYERS);
    let held = path.iter().all(|leg| {
        let stop = candidates.iter().find(|stop| stop.id == leg.id);
        stop.is_some_and(|s| {
            s.layers.first() <= leg.layers.first() && leg.layers.end() <= s.layers.end()
        })
    });
    let mut seen = ids(path);
    seen.sort_unstable();
    seen.dedup();
    joined && ends && held && seen.len() == path.len()
}

#[test]
fn a_path_stays_within_a_domain() {
    let mut candidates = two_domains();
    candidates[2].step_ms = 9.8;
    candidates[1].step_ms = 9.8;
    let path = cheapest(&candidates).expect("a path");
    let first = candidates.iter().find(|stop| stop.id == path[0].id).expect("known");
    let last = candidates.iter().find(|stop| stop.id == path[1].id).expect("known");
    assert_eq!(first.domain, last.domain);
}

#[test]
fn an_engine_without_room_is_passed_by() {
    let mut candidates = two_domains();
    candidates[0].used_tokens = 59_000.0;
    assert_eq!(ids(&cheapest(&candidates).expect("a path")), ["engine-2", "engine-3"]);
    candidates[3].used_tokens = 59_000.0;
    // Both domains lack a half, so the path has to cross.
    assert_eq!(ids(&cheapest(&candidates).expect("a path")), ["engine-2", "engine-1"]);
    candidates[1].used_tokens = 59_000.0;
    assert!(cheapest(&candidates).is_none());
}

#[test]
fn a_link_is_not_filled_beyond_its_share() {
    let mut candidates = two_domains();
    candidates[0].used_tokens = 59_000.0;
    candidates[3].used_tokens = 59_000.0;
    let mut links = LinkUsage::default();
    let link = Link::between(&"a".into(), &"b".into());
    let request = transfer_bytes(&spec(), DEMAND);
    let mut crossed = 0;
    while search(&candidates, &links, &[], &[]).is_some() {
        links.add(link.clone(), request, Tick(0));
        crossed += 1;
    }
    let share = f64::from(crossed) * request / 1_000.0 / spec().domain_link_bytes_per_ms;
    assert!((0.6..0.65).contains(&share), "{crossed} requests a second fill {share}");
    // A second later most of it has passed.
    assert!(links.total(&link, Tick(1_000)) < 0.4 * links.total(&link, Tick(0)));
}

#[test]
fn the_first_engine_can_be_prescribed() {
    let candidates = two_domains();
    let path = search(&candidates, &LinkUsage::default(), &["engine-2"], &[]).expect("a path");
    assert_eq!(ids(&path)[0], "engine-2");
}

#[test]
fn a_run_moves_around_a_lost_engine_and_keeps_its_first_leg() {
    let mut candidates = vec![
        candidate(0, "a", range(0, 30)),
        candidate(1, "a", range(30, 60)),
        candidate(2, "a", range(60, 80)),
        candidate(3, "a", range(25, 62)),
    ];
    candidates[3].step_ms = 30.0;
    let current_path = cheapest(&candidates).expect("a path");
    let lost = current_path[1].id.clone();
    let left: Vec<PathCandidate> =
        candidates.iter().filter(|stop| stop.id != lost).cloned().collect();
    let moved = search(&left, &LinkUsage::default(), &[], &current_path).expect("a path");
    assert_eq!(moved[0], current_path[0]);
    assert!(is_whole(&moved, &left) && !ids(&moved).contains(&lost.as_str()));
}

#[test]
fn a_run_may_stay_where_there_is_no_room_for_another() {
    let mut candidates = two_domains();
    let current_path = cheapest(&candidates).expect("a path");
    for stop in &mut candidates {
        stop.used_tokens = 60_000.0;
    }
    assert!(cheapest(&candidates).is_none());
    assert_eq!(search(&candidates, &LinkUsage::default(), &[], &current_path), Some(current_path));
}

#[test]
fn the_binding_layer_is_named() {
    let mut candidates = two_domains();
    candidates[1].used_tokens = 59_500.0;
    candidates.remove(3);
    let found: Vec<String> =
        bottlenecks(LAYERS, &candidates).iter().map(ToString::to_string).collect();
    assert_eq!(found, ["a:layer=40,holders=1,room=500", "b:layer=40,holders=0,room=0"]);
}

quickcheck! {
    fn every_path_is_whole(engines: Vec<(u8, u8, u8, u8)>) -> bool {
        let domains = ["a", "b", "c"];
        let candidates: Vec<PathCandidate> = engines
            .iter()
            .enumerate()
            .map(|(n, (from, count, domain, used))| {
                let from = u32::from(*from) % LAYERS;
                let end = (from + 1 + u32::from(*count) % 40).min(LAYERS);
                let mut stop = candidate(n, domains[*domain as usize % 3], range(from, end));
                stop.used_tokens = f64::from(*used) * 250.0;
                stop
            })
            .collect();
        cheapest(&candidates).is_none_or(|path| is_whole(&path, &candidates))
    }
}

#[test]
fn a_path_begins_where_a_slot_is_free_though_the_other_engine_is_faster() {
    let mut candidates = two_domains();
    candidates[0].step_ms /= 10.0;
    candidates[1].step_ms /= 10.0;
    assert_eq!(ids(&cheapest(&candidates).expect("a path"))[0], "engine-0");
    candidates[0].free_slots = 0;
    assert_eq!(ids(&cheapest(&candidates).expect("a path"))[0], "engine-2");
}

#[test]
fn a_run_that_goes_on_keeps_its_slot_at_its_first_engine() {
    let mut candidates = two_domains();
    let path = cheapest(&candidates).expect("a path");
    for stop in &mut candidates {
        stop.free_slots = 0;
    }
    assert_eq!(cheapest(&candidates), None);
    let moved = search(&candidates, &LinkUsage::default(), &[], &path).expect("a path");
    assert_eq!(moved[0], path[0]);
}
