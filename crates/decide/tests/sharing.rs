//! What entries share: loads, leases, retries; and the events of a stream.

mod engines_world;

use clementine_decide::events::EventSplitter;
use clementine_decide::fleet::{BackendState, Fleet, ListUpdate};
use clementine_decide::ids::{IncarnationId, Tick};
use clementine_decide::lease::{LeaseLimits, LeaseRow, LeaseStep, LeaseWatch};
use clementine_decide::peers::{BackendLoad, BackendTag, PeerMessage, PeerNews, PeerView};
use clementine_decide::retry::{WindowBudget, WindowLimits};
use clementine_objects::Millis;
use engines_world::backend;
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn message(from: &str, number: u64, tokens: u32) -> PeerMessage {
    PeerMessage {
        from: from.into(),
        incarnation: IncarnationId(1),
        number,
        leaving: false,
        config_newest: 0,
        list_newest: 0,
        plans: None,
        loads: vec![BackendLoad { backend: BackendTag(7), in_flight: 1, tokens }],
        links: Vec::new(),
    }
}

#[test]
fn loads_of_the_others_add_up_and_lapse() {
    let mut peers = PeerView::default();
    assert_eq!(peers.note(message("one", 1, 100), Tick(0)), PeerNews::Joined);
    assert_eq!(peers.note(message("two", 1, 50), Tick(0)), PeerNews::Joined);
    assert_eq!(peers.totals()[&BackendTag(7)].tokens, 150);
    assert_eq!(peers.note(message("one", 3, 10), Tick(100)), PeerNews::Same);
    assert_eq!(peers.note(message("one", 2, 900), Tick(110)), PeerNews::Stale);
    assert_eq!(peers.totals()[&BackendTag(7)].tokens, 60);
    assert_eq!(peers.serving(), 3);
    assert_eq!(peers.drop_silent(Tick(1_550)), ["two".into()]);
    assert_eq!(peers.totals()[&BackendTag(7)].tokens, 10);
}

#[test]
fn messages_of_an_earlier_start_do_not_hide_those_of_the_next() {
    let mut peers = PeerView::default();
    peers.note(message("one", 500, 100), Tick(0));
    let restarted = PeerMessage { incarnation: IncarnationId(2), ..message("one", 1, 5) };
    assert_eq!(peers.note(restarted, Tick(10)), PeerNews::Same);
    assert_eq!(peers.totals()[&BackendTag(7)].tokens, 5);
}

fn watch(entry: &str, incarnation: u128) -> LeaseWatch {
    LeaseWatch::new(LeaseLimits::default(), entry.into(), IncarnationId(incarnation))
}

/// Lets a process take the lease; gives the row.
fn take(
    watch: &mut LeaseWatch,
    read: Option<(u64, &LeaseRow)>,
    written: u64,
    now: Tick,
) -> LeaseRow {
    let LeaseStep::Write { row, .. } = watch.note_row(read, now) else {
        panic!("nothing to write")
    };
    watch.note_written(written, row.term, now);
    row
}

#[test]
fn a_lease_passes_on_only_after_it_has_lapsed() {
    let (mut one, mut two) = (watch("one", 1), watch("two", 2));
    let row = take(&mut one, None, 10, Tick(0));
    assert_eq!(one.term(Tick(2_700)), Some(1));
    assert_eq!(one.term(Tick(2_800)), None, "it may not act until the last moment");
    assert_eq!(two.note_row(Some((10, &row)), Tick(100)), LeaseStep::Wait);
    assert_eq!(two.note_row(Some((10, &row)), Tick(3_500)), LeaseStep::Wait);
    let taken = take(&mut two, Some((10, &row)), 11, Tick(3_600));
    assert_eq!((taken.term, two.term(Tick(3_700))), (2, Some(2)));
    assert_eq!(one.note_row(Some((11, &taken)), Tick(3_700)), LeaseStep::Wait);
}

#[test]
fn a_renewed_lease_does_not_lapse() {
    let (mut one, mut two) = (watch("one", 1), watch("two", 2));
    let row = take(&mut one, None, 10, Tick(0));
    for n in 0..10 {
        let now = Tick(1_000 * n);
        let step = one.renewal(now).expect("held");
        assert_eq!(step, LeaseStep::Write { version: 10 + n, row: row.clone() });
        one.note_written(11 + n, 1, now);
        assert_eq!(two.note_row(Some((11 + n, &row)), now), LeaseStep::Wait);
    }
}

#[test]
fn a_lease_that_was_heard_of_passes_on_sooner() {
    let (mut one, mut two) = (watch("one", 1), watch("two", 2));
    let row = take(&mut one, None, 10, Tick(0));
    two.note_heard(10, Tick(100));
    two.note_heard(9, Tick(2_000));
    assert_eq!(one.term(Tick(2_800)), None);
    assert_eq!(two.note_row(Some((10, &row)), Tick(3_000)), LeaseStep::Wait);
    assert_eq!(take(&mut two, Some((10, &row)), 11, Tick(3_600)).term, 2);
}

#[test]
fn a_process_that_starts_again_replaces_its_earlier_start_at_once() {
    let row = take(&mut watch("one", 1), None, 10, Tick(0));
    let taken = take(&mut watch("one", 2), Some((10, &row)), 11, Tick(50));
    assert_eq!(taken.term, 2);
}

#[test]
fn a_lease_that_is_given_back_is_free() {
    let mut one = watch("one", 1);
    take(&mut one, None, 10, Tick(0));
    let (version, row) = one.release(Tick(100)).expect("held");
    assert_eq!((version, one.term(Tick(100))), (10, None));
    assert_eq!(take(&mut watch("two", 2), Some((11, &row)), 12, Tick(200)).term, 2);
}

const WINDOW: WindowLimits = WindowLimits { window: Millis(10_000), share: 0.2, reserve: 10.0 };

#[test]
fn a_window_allows_its_reserve_and_a_share_of_its_requests() {
    let mut budget = WindowBudget::new(WINDOW);
    for _ in 0..50 {
        budget.note_request(Tick(0));
    }
    let taken = (0..100).filter(|_| budget.try_retry(0.0, Tick(1_000))).count();
    assert_eq!(taken, 20);
    assert!(!budget.try_retry(0.0, Tick(9_900)));
    assert!(budget.try_retry(0.0, Tick(11_600)), "the window has passed");
}

#[test]
fn a_part_of_the_window_is_kept_for_what_matters_more() {
    let mut budget = WindowBudget::new(WINDOW);
    assert_eq!((0..100).filter(|_| budget.try_retry(0.4, Tick(0))).count(), 6);
    assert_eq!((0..100).filter(|_| budget.try_retry(0.0, Tick(0))).count(), 4);
}

/// However requests and retries come, no window holds more retries than its
/// reserve and the share of the requests around it.
#[test]
fn no_window_holds_too_many_retries() {
    fn holds(steps: Vec<(u16, bool)>) -> bool {
        let mut budget = WindowBudget::new(WINDOW);
        let mut now = 0;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            now += u64::from(pause % 700);
            if is_request {
                budget.note_request(Tick(now));
                requests.push(now);
            } else if budget.try_retry(0.0, Tick(now)) {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            let within = |at: &&u64| **at <= *end && **at + 10_000 > *end;
            // A part of a window may reach back a little further.
            let counted = requests.iter().filter(|at| **at <= *end && **at + 11_000 > *end).count();
            retries.iter().filter(within).count() as f64 <= 10.0 + 0.2 * counted as f64
        })
    }
    let random = Gen::from_size_and_seed(64, 3_301);
    let mut check = QuickCheck::new().rng(random).tests(300).max_tests(300);
    check.quickcheck(holds as fn(Vec<(u16, bool)>) -> bool);
}

#[test]
fn a_server_that_starts_again_has_nothing_of_before() {
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

#[test]
fn slow_failing_and_leaving_servers_are_chosen_last_or_not() {
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
        fleet.fastest(&"p".into(), Tick(now), &avoid, &mut rng).map(|m| m.backend.id.to_string())
    };
    assert_eq!(choose(10, &[]).as_deref(), Some("y"));
    assert_eq!(choose(10, &["y"]).as_deref(), Some("x"), "slow before out of use");
    assert_eq!(choose(10, &["x", "y"]), None);
    assert_eq!(choose(300, &["x", "y"]).as_deref(), Some("z"), "the pause is over");
}

#[test]
fn events_are_cut_out_whole_wherever_the_bytes_are_cut() {
    let body = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    for size in 1..=body.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for part in body.chunks(size) {
            splitter.push(part);
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        let found: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(found, [Some(1), Some(2), None], "in parts of {size}");
        assert_eq!(splitter.pending(), 0);
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert_eq!(bytes, body);
    }
}

#[test]
fn a_cut_off_event_is_pending() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert!(splitter.next_event().is_some() && splitter.next_event().is_none());
    assert!(splitter.pending() > 0);
}

#[test]
fn a_server_that_left_the_list_may_still_run_unless_it_was_found_down() {
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
