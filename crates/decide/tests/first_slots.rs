//! Slots of the engines at which paths begin.

use std::collections::HashMap;

use clementine_decide::fleet::{Backend, Fleet};
use clementine_decide::ids::{BackendId, PoolId, Tick};
use clementine_decide::paths::{Demand, LinkUsage, PathSearch, PathStage};
use clementine_decide::peers::{BackendHash, BackendLoad};
use rand::SeedableRng;
use rand::rngs::SmallRng;

mod engine_fixtures;

const NOW: Tick = Tick(1_000);
const SLOTS: u32 = 100;

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (id, end) in [("narrow", 5), ("wide", 12)] {
        let engine = Backend {
            slots: SLOTS,
            accelerator: Some("small".into()),
            layers: Some(engine_fixtures::range(0, end)),
            ..engine_fixtures::backend(id, "model")
        };
        fleet.upsert(engine, Tick(0));
    }
    fleet
}

fn free_slots(fleet: &Fleet, id: &str) -> u32 {
    let spec = engine_fixtures::spec();
    let candidates = fleet.path_candidates(&PoolId::from("model"), &spec, NOW, &[]);
    candidates.iter().find(|candidate| candidate.id.as_str() == id).expect("usable").free_slots
}

/// Guards against requests that are refused for want of a slot while engines that hold
/// layer 0 run others only as a later stage. The load: all paths begin at a narrow engine
/// and go on at a wide one that also holds layer 0.
#[test]
fn later_stages_of_paths_occupy_no_slots() {
    let mut fleet = fleet();
    let unused = free_slots(&fleet, "wide");
    let narrow = fleet.get_mut(&BackendId::from("narrow")).expect("listed");
    (narrow.in_flight, narrow.first_stages) = (SLOTS, SLOTS);
    fleet.get_mut(&BackendId::from("wide")).expect("listed").in_flight = SLOTS;
    assert_eq!((free_slots(&fleet, "narrow"), free_slots(&fleet, "wide")), (0, unused));
}

/// The same for the runs of other entries, as they report them.
#[test]
fn later_stages_of_other_entries_occupy_no_slots() {
    let mut fleet = fleet();
    let unused = free_slots(&fleet, "wide");
    let load = |id: &str, first_stages| {
        let backend = BackendHash::from(&BackendId::from(id));
        (backend, BackendLoad { backend, in_flight: SLOTS, tokens: 0, first_stages })
    };
    fleet.set_remote_load(&HashMap::from([load("narrow", SLOTS), load("wide", 10)]));
    assert_eq!((free_slots(&fleet, "narrow"), free_slots(&fleet, "wide")), (0, unused - 10));
}

/// A path for one more small request of the load, added to the load of its engines.
fn begin_request(fleet: &mut Fleet, rng: &mut SmallRng) -> Option<Vec<PathStage>> {
    let (spec, links) = (engine_fixtures::spec(), LinkUsage::default());
    let candidates = fleet.path_candidates(&PoolId::from("model"), &spec, NOW, &[]);
    let demand = Demand { prompt_tokens: 20.0, output_tokens: 10.0 };
    let search =
        PathSearch { now: NOW, ..engine_fixtures::new_request(&spec, &candidates, &links, demand) };
    let path = search.choose_path(rng)?.stages;
    for (stage, id) in path.iter().map(|stage| &stage.id).enumerate() {
        let member = fleet.get_mut(id).expect("listed");
        member.in_flight += 1;
        member.first_stages += u32::from(stage == 0);
    }
    Some(path)
}

/// Guards against refusals while first engines have free slots. The load: small requests
/// that stay, until no path is found for one; some begin at the narrow engine and go on
/// at the wide one, which then runs more of them than it has slots.
#[test]
fn load_fills_the_slots_of_all_first_engines() {
    let mut fleet = fleet();
    for (id, from, end) in [("middle", 12, 24), ("late", 24, 52), ("last", 52, 80)] {
        let engine = Backend {
            accelerator: Some("large".into()),
            layers: Some(engine_fixtures::range(from, end)),
            ..engine_fixtures::backend(id, "model")
        };
        fleet.upsert(engine, Tick(0));
    }
    let slots = free_slots(&fleet, "narrow") + free_slots(&fleet, "wide");
    let mut rng = SmallRng::seed_from_u64(3);
    let mut begun = 0;
    let mut passed_on = 0;
    while let Some(path) = begin_request(&mut fleet, &mut rng) {
        begun += 1;
        passed_on += u32::from(path.iter().skip(1).any(|stage| stage.id.as_str() == "wide"));
    }
    assert!(passed_on > 0, "the load has no path from the narrow engine to the wide one");
    assert_eq!(begun, slots);
}
