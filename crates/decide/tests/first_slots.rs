//! Slots of the engines at which paths begin.

use std::collections::HashMap;

use clementine_decide::fleet::{Backend, Fleet};
use clementine_decide::ids::{BackendId, PoolId, Tick};
use clementine_decide::peers::{BackendHash, BackendLoad};

mod engine_fixtures;

const NOW: Tick = Tick(1_000);
const SLOTS: u32 = 100;

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (id, end) in [("narrow", 5), ("wide", 25)] {
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
