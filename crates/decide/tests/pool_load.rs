//! Load of a pool, with servers that return at a known time.

use clementine_decide::fleet::{Backend, BackendState, Fleet};
use clementine_decide::ids::{PoolId, Tick};
use clementine_objects::Millis;

mod engine_fixtures;

const NOW: Tick = Tick(10_000);

fn backend(id: &str, accelerator: Option<&str>) -> Backend {
    Backend {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "a".into(),
        state: BackendState::Ready,
        slots: 8,
        started_ms: Some(1),
        accelerator: accelerator.map(Into::into),
        layers: None,
        orders_started: 0,
    }
}

/// Guards against an expected wait that takes servers in use, paused or down for free
/// ones.
#[test]
fn servers_count_by_what_is_known_of_them() {
    let mut fleet = Fleet::default();
    for id in ["up", "backs-off", "down"] {
        fleet.upsert(backend(id, None), Tick(0));
    }
    let up = fleet.get_mut(&"up".into()).expect("listed");
    (up.in_flight, up.remote_in_flight) = (3, 2);
    fleet.get_mut(&"backs-off".into()).expect("listed").record_failure(Tick(9_900));
    fleet.get_mut(&"down".into()).expect("listed").set_down(true);
    let load = fleet.pool_load(&PoolId::from("p"), None, 2, NOW);
    assert_eq!((load.used, load.slots, load.in_flight_elsewhere), (5, 8, 2));
    let returning: Vec<_> =
        load.returning.iter().map(|returning| (returning.after, returning.slots)).collect();
    assert_eq!(returning, [(Millis(150), 8.0)], "the backoff ends");
}

/// Guards against spare engines that are taken for ones that are loading, so that
/// requests are refused until a time that means nothing.
#[test]
fn an_engine_without_layers_returns_when_it_has_loaded_some_and_is_then_a_spare() {
    let spec = engine_fixtures::spec();
    let mut fleet = Fleet::default();
    fleet.upsert(backend("starts", Some("small")), Tick(9_500));
    let pool = PoolId::from("p");
    let load = fleet.pool_load(&pool, Some(&spec), 1, NOW);
    // 12 of 80 layers fit, and all take 14 s.
    let after: Vec<_> = load.returning.iter().map(|returning| returning.after).collect();
    assert_eq!((load.slots, after), (0, vec![Millis(1_600)]));
    let load = fleet.pool_load(&pool, Some(&spec), 1, NOW.after(Millis(1_600)));
    assert_eq!((load.slots, load.returning), (0, Vec::new()), "a spare");
}
