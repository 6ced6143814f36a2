//! Retry budgets that entries share, fleet membership and splitting of event
//! streams.

mod engine_fixtures;

use clementine_decide::events::{EventSplitter, EventTooLarge, MAX_EVENT_BYTES};
use clementine_decide::fleet::{BackendState, Fleet, ListUpdate};
use clementine_decide::ids::Tick;
use clementine_decide::retry::{WindowBudget, WindowLimits};
use clementine_objects::Millis;
use engine_fixtures::backend;
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const WINDOW: WindowLimits = WindowLimits { window: Millis(10_000), ratio: 0.2, slack: 10.0 };

#[test]
fn a_window_allows_its_slack_and_a_ratio_of_its_requests() {
    let mut budget = WindowBudget::new(WINDOW);
    for _ in 0..50 {
        budget.record_request(Tick(0));
    }
    let taken = (0..100).filter(|_| budget.try_retry(0.0, Tick(1_000))).count();
    assert_eq!(taken, 20);
    assert!(!budget.try_retry(0.0, Tick(9_900)));
    assert!(budget.try_retry(0.0, Tick(11_600)), "the window has passed");
}

/// Guards against a budget that is spent again, or stays spent for the life of the process,
/// when the length of the window changes at a reload.
#[test]
fn budget_stays_spent_for_one_window_when_its_length_changes() {
    for (before, after) in [(10_000, 2_000), (2_000, 10_000), (10_000, 0), (0, 10_000)] {
        let limits = |window| WindowLimits { window: Millis(window), ..WINDOW };
        let mut budget = WindowBudget::new(limits(before));
        let start = 3_600_000;
        assert_eq!((0..20).filter(|_| budget.try_retry(0.0, Tick(start))).count(), 10);
        budget.set_limits(limits(after));
        assert!(!budget.try_retry(0.0, Tick(start)), "{before} to {after}: spent");
        let end = start + 2 * before.max(after);
        assert!(budget.try_retry(0.0, Tick(end)), "{before} to {after}: the window has passed");
    }
}

#[test]
fn a_share_of_the_budget_can_be_reserved() {
    let mut budget = WindowBudget::new(WINDOW);
    assert_eq!((0..100).filter(|_| budget.try_retry(0.4, Tick(0))).count(), 6);
    assert_eq!((0..100).filter(|_| budget.try_retry(0.0, Tick(0))).count(), 4);
}

/// For any sequence of requests and retries, the retries in a window do not
/// exceed the slack plus the ratio of the requests.
#[test]
fn no_window_exceeds_its_budget() {
    fn within_budget(steps: Vec<(u16, bool)>) -> bool {
        let mut budget = WindowBudget::new(WINDOW);
        let mut now = 0;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            now += u64::from(pause % 700);
            if is_request {
                budget.record_request(Tick(now));
                requests.push(now);
            } else if budget.try_retry(0.0, Tick(now)) {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            let within = |at: &&u64| **at <= *end && **at + 10_000 > *end;
            // The oldest bucket may reach back beyond the window.
            let counted = requests.iter().filter(|at| **at <= *end && **at + 11_000 > *end).count();
            retries.iter().filter(within).count() as f64 <= 10.0 + 0.2 * counted as f64
        })
    }
    let random = Gen::from_size_and_seed(64, 3_301);
    let mut check = QuickCheck::new().rng(random).tests(300).max_tests(300);
    check.quickcheck(within_budget as fn(Vec<(u16, bool)>) -> bool);
}

#[test]
fn a_restarted_server_has_no_state_of_its_previous_incarnation() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.upsert(backend("x", "p"), Tick(0)), ListUpdate::Started);
    assert_eq!(fleet.upsert(backend("x", "p"), Tick(1)), ListUpdate::Unchanged);
    fleet.get_mut(&"x".into()).expect("listed").set_down(true);
    let leaving =
        clementine_decide::fleet::Backend { state: BackendState::Leaving, ..backend("x", "p") };
    assert_eq!(fleet.upsert(leaving, Tick(2)), ListUpdate::Changed);
    assert!(fleet.get(&"x".into()).expect("listed").is_down());
    let again = clementine_decide::fleet::Backend { started_ms: Some(2), ..backend("x", "p") };
    assert_eq!(fleet.upsert(again, Tick(3)), ListUpdate::Started);
    assert!(!fleet.get(&"x".into()).expect("listed").is_down());
}

/// Guards against a server that is gone, whose row is still listed, beside the one that
/// has its address now.
#[test]
fn address_belongs_to_the_server_that_started_last() {
    use clementine_decide::fleet::Backend;
    let at = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let started =
        |id, ms, port| Backend { started_ms: Some(ms), address: at(port), ..backend(id, "p") };
    // The rows of a snapshot come in the order of their ids.
    for (first, second) in [(("a", 1), ("z", 2)), (("a", 2), ("z", 1))] {
        let mut fleet = Fleet::default();
        fleet.upsert(started("m", 5, 2), Tick(0));
        let mut doubted = Vec::new();
        for (id, ms) in [first, second] {
            fleet.upsert(started(id, ms, 1), Tick(0));
            doubted.extend(fleet.doubt_former_owners(&id.into()));
        }
        let (owner, former) = if first.1 > second.1 { ("a", "z") } else { ("z", "a") };
        assert_eq!(doubted, [former.into()]);
        assert_eq!(fleet.by_address(at(1)), Some(&owner.into()));
        let is_used = |id: &str| fleet.get(&id.into()).is_some_and(|it| it.is_usable(Tick(1)));
        assert!(is_used(owner) && !is_used(former) && is_used("m"));
        assert!(fleet.is_address_taken(&former.into()) && !fleet.is_address_taken(&owner.into()));
        assert!(fleet.doubt_former_owners(&owner.into()).is_empty(), "it is excluded already");
    }
}

#[test]
fn slow_servers_are_selected_last_and_failed_ones_only_after_the_backoff() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut fleet = Fleet::default();
    for id in ["x", "y", "z"] {
        fleet.upsert(backend(id, "p"), Tick(0));
    }
    for _ in 0..20 {
        fleet.get_mut(&"x".into()).expect("listed").record_response(Millis(700), Tick(0));
        fleet.get_mut(&"y".into()).expect("listed").record_response(Millis(60), Tick(0));
    }
    fleet.get_mut(&"z".into()).expect("listed").record_failure(Tick(0));
    let mut choose = |now, avoid: &[&str]| {
        let avoid: Vec<_> = avoid.iter().map(|id| (*id).into()).collect();
        fleet
            .fastest(&"p".into(), Tick(now), &avoid, &[], &mut rng)
            .map(|m| m.backend.id.to_string())
    };
    assert_eq!(choose(10, &[]).as_deref(), Some("y"));
    assert_eq!(choose(10, &["y"]).as_deref(), Some("x"), "a slow server before a failed one");
    assert_eq!(choose(10, &["x", "y"]), None);
    assert_eq!(choose(300, &["x", "y"]).as_deref(), Some("z"), "the backoff has ended");
}

#[test]
fn events_are_split_correctly_for_every_chunk_size() {
    let body = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    for size in 1..=body.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in body.chunks(size) {
            splitter.push(chunk);
            events.extend(std::iter::from_fn(|| splitter.next_event().expect("small events")));
        }
        let found: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(found, [Some(1), Some(2), None], "in chunks of {size}");
        assert_eq!(splitter.pending(), 0);
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert_eq!(bytes, body);
    }
}

#[test]
fn an_incomplete_event_is_pending() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert!(splitter.next_event().is_ok_and(|event| event.is_some()));
    assert_eq!(splitter.next_event(), Ok(None));
    assert!(splitter.pending() > 0);
}

#[test]
fn an_event_without_an_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES]);
    assert_eq!(splitter.next_event(), Ok(None));
    splitter.push(b"\n\n");
    assert!(splitter.next_event().is_ok_and(|event| event.is_some()), "its end arrives in time");
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(splitter.next_event(), Err(EventTooLarge));
}

#[test]
fn a_removed_server_may_still_run_requests_unless_it_was_down() {
    let mut fleet = Fleet::default();
    for id in ["left", "crashed"] {
        fleet.upsert(backend(id, "p"), Tick(0));
    }
    fleet.get_mut(&"crashed".into()).expect("listed").set_down(true);
    for id in ["left", "crashed"] {
        assert!(fleet.remove(&id.into(), Tick(1_000)));
    }
    assert!(fleet.may_still_run(&"left".into()));
    assert!(!fleet.may_still_run(&"crashed".into()));
}

#[test]
fn a_listed_server_whose_address_refuses_connections_runs_nothing() {
    let mut fleet = Fleet::default();
    fleet.upsert(backend("s", "p"), Tick(0));
    let id = "s".into();
    assert!(fleet.may_still_run(&id));
    fleet.get_mut(&id).expect("listed").record_refused_connection(Tick(10));
    assert!(!fleet.may_still_run(&id));
    fleet.get_mut(&id).expect("listed").record_activity(Tick(20));
    assert!(fleet.may_still_run(&id), "it responds again");
}
