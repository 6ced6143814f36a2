//! What entries tell each other about their load, and how it spreads.

use std::collections::BTreeSet;

use clementine_decide::ids::{DomainId, EntryId, IncarnationId, StoreEra, StoreVersion, Tick};
use clementine_decide::peers::{
    BackendHash, BackendLoad, Condition, DomainSummary, FeedPosition, FeedPositions, LoadStatus,
    PeerMessage, PeerReport, PeerUpdate, PeerView, PlannerAnnouncement, Sighting, SightingStep,
    Sightings, must_follow, recovery_check_interval, send_interval, summary_targets,
};
use clementine_objects::Millis;

const BACKEND: BackendHash = BackendHash(7);

const fn version(number: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(0), number }
}

fn load(tokens: u32) -> LoadStatus {
    LoadStatus {
        backends: vec![BackendLoad { backend: BACKEND, in_flight: 1, tokens, first_stages: 1 }],
        ..LoadStatus::default()
    }
}

fn message(from: &str, domain: &str, sequence: u64, report: PeerReport) -> PeerMessage {
    PeerMessage {
        from: from.into(),
        domain: domain.into(),
        incarnation: IncarnationId(1),
        sequence,
        interval: Millis(150),
        config_newest: version(0),
        list_newest: version(0),
        planner: None,
        crashes: Vec::new(),
        signals: Vec::new(),
        report,
    }
}

fn neighbor(from: &str, sequence: u64, tokens: u32) -> PeerMessage {
    message(
        from,
        "a",
        sequence,
        PeerReport::Entry { leaving: false, feed: None, config: None, load: load(tokens) },
    )
}

fn summary(from: &str, sequence: u64, live: u32, tokens: u32) -> PeerMessage {
    let summary = DomainSummary { live, serving: live, load: load(tokens) };
    message(from, "b", sequence, PeerReport::Domain(summary))
}

fn tokens(view: &PeerView) -> u32 {
    view.load_totals().backends.get(&BACKEND).map_or(0, |load| load.tokens)
}

#[test]
fn loads_of_neighbors_are_summed_and_expire() {
    let mut view = PeerView::default();
    assert_eq!(view.record(neighbor("one", 1, 100), Tick(0)), PeerUpdate::Joined);
    assert_eq!(view.record(neighbor("two", 1, 50), Tick(0)), PeerUpdate::Joined);
    assert_eq!(tokens(&view), 150);
    assert_eq!(view.record(neighbor("one", 3, 10), Tick(100)), PeerUpdate::Known);
    assert_eq!(view.record(neighbor("one", 2, 900), Tick(110)), PeerUpdate::Ignored);
    assert_eq!(tokens(&view), 60);
    assert_eq!(view.serving_count(), 3);
    assert_eq!(view.remove_expired(Tick(1_550)), ["two".into()]);
    assert_eq!(tokens(&view), 10);
}

#[test]
fn messages_of_a_new_incarnation_replace_those_of_the_previous_one() {
    let mut view = PeerView::default();
    view.record(neighbor("one", 500, 100), Tick(0));
    let restarted = PeerMessage { incarnation: IncarnationId(2), ..neighbor("one", 1, 5) };
    assert_eq!(view.record(restarted, Tick(10)), PeerUpdate::Known);
    assert_eq!(tokens(&view), 5);
}

#[test]
fn a_slow_sender_stays_live_for_several_of_its_intervals() {
    let mut view = PeerView::default();
    let slow = PeerMessage { interval: Millis(1_000), ..neighbor("one", 1, 5) };
    view.record(slow, Tick(0));
    assert!(view.remove_expired(Tick(3_900)).is_empty());
    assert_eq!(view.remove_expired(Tick(4_000)), ["one".into()]);
}

#[test]
fn a_domain_counts_once_whoever_reports_it() {
    let mut view = PeerView::default();
    view.record(summary("b1", 1, 4, 100), Tick(0));
    view.record(summary("b2", 1, 4, 120), Tick(10));
    assert_eq!((tokens(&view), view.live_count()), (120, 5));
    assert_eq!(view.record(summary("b2", 1, 4, 900), Tick(20)), PeerUpdate::Ignored);
    view.remove_expired(Tick(1_600));
    assert_eq!((tokens(&view), view.live_count()), (0, 1));
}

#[test]
fn a_sender_that_knows_few_of_its_neighbors_does_not_replace_a_fuller_summary() {
    let mut view = PeerView::default();
    view.record(summary("b1", 1, 4, 100), Tick(0));
    assert_eq!(view.record(summary("b2", 1, 1, 3), Tick(10)), PeerUpdate::Ignored);
    assert_eq!(tokens(&view), 100);
    assert_eq!(view.record(summary("b2", 2, 1, 3), Tick(1_500)), PeerUpdate::Known);
    assert_eq!(tokens(&view), 3, "the fuller summary has expired");
}

#[test]
fn a_planner_that_has_ended_is_forgotten_although_others_pass_it_on() {
    let announced = |age| PlannerAnnouncement {
        holder: "one".into(),
        lease_version: version(5),
        age: Millis(age),
    };
    let (mut two, mut three) = (PeerView::default(), PeerView::default());
    two.record(PeerMessage { planner: Some(announced(0)), ..neighbor("one", 1, 0) }, Tick(0));
    // Two entries keep passing the announcement on to each other.
    for n in 1..40 {
        let now = Tick(n * 100);
        let from_two = PeerMessage { planner: two.planner(now), ..neighbor("two", n, 0) };
        three.record(from_two, now);
        let from_three = PeerMessage { planner: three.planner(now), ..neighbor("three", n, 0) };
        two.record(from_three, now);
    }
    assert_eq!((two.planner(Tick(4_000)), three.planner(Tick(4_000))), (None, None));
}

#[test]
fn in_each_round_a_domain_reaches_every_entry_of_another() {
    for (senders, receivers) in [(1, 1), (1, 5), (3, 2), (20, 22), (22, 18), (7, 7)] {
        for round in 0..50 {
            let targets = |rank| summary_targets(rank, senders, receivers, round);
            let reached: BTreeSet<usize> = (0..senders).flat_map(targets).collect();
            assert_eq!(reached.len(), receivers, "{senders} to {receivers} in round {round}");
        }
    }
    assert_eq!(summary_targets(0, 3, 0, 9).count(), 0);
}

/// Domains with the given number of entries each, which exchange messages without
/// loss in rounds.
struct Simulation {
    entries: Vec<(EntryId, DomainId, PeerView)>,
    sequence: u64,
    messages: usize,
}

impl Simulation {
    fn new(domains: usize, size: usize) -> Self {
        let ids = (0..domains).flat_map(|d| (0..size).map(move |n| (d, n)));
        let entry = |(d, n)| {
            let id = format!("e{d}-{n:03}");
            let domain = format!("d{d}");
            (id.as_str().into(), domain.as_str().into(), PeerView::default())
        };
        Self { entries: ids.map(entry).collect(), sequence: 0, messages: 0 }
    }

    fn round(&mut self, now: Tick) {
        self.sequence += 1;
        let mut sent = Vec::new();
        for (id, domain, view) in &self.entries {
            let own = load(1);
            let entry =
                PeerReport::Entry { leaving: false, feed: None, config: None, load: own.clone() };
            let summary = PeerReport::Domain(view.summarize(&own, false, 512));
            let rank = view.neighbors().filter(|other| *other < id).count();
            let senders = view.neighbors().count() + 1;
            for other in self.domains() {
                let members: Vec<usize> = self.members(&other);
                if other == *domain {
                    let message =
                        message(id.as_str(), domain.as_str(), self.sequence, entry.clone());
                    sent.extend(members.iter().map(|at| (*at, message.clone())));
                    continue;
                }
                // Entries listen first: one that knows no neighbors would have to
                // reach all others by itself.
                if self.sequence == 1 {
                    continue;
                }
                let report = summary.clone();
                let message = message(id.as_str(), domain.as_str(), self.sequence, report);
                let targets = summary_targets(rank, senders, members.len(), self.sequence);
                sent.extend(targets.map(|target| (members[target], message.clone())));
            }
        }
        for (at, message) in sent {
            if self.entries[at].0 != message.from {
                self.messages += 1;
                self.entries[at].2.record(message, now);
            }
        }
    }

    fn domains(&self) -> BTreeSet<DomainId> {
        self.entries.iter().map(|(_, domain, _)| domain.clone()).collect()
    }

    fn members(&self, domain: &DomainId) -> Vec<usize> {
        (0..self.entries.len()).filter(|at| self.entries[*at].1 == *domain).collect()
    }
}

/// 105 entries know the whole load after two rounds, and each sends far fewer
/// messages than there are entries.
#[test]
fn a_large_fleet_learns_the_whole_load_in_two_rounds() {
    let mut fleet = Simulation::new(5, 21);
    for n in 0..2 {
        fleet.round(Tick(n * 350));
    }
    for (id, _, view) in &fleet.entries {
        assert_eq!((tokens(view), view.live_count()), (104, 105), "{id}");
    }
    let per_entry_and_round = fleet.messages / 105 / 2;
    assert!(per_entry_and_round <= 30, "{per_entry_and_round} messages");
    assert!(send_interval(per_entry_and_round) <= Millis(500));
}

#[test]
fn two_entries_of_a_domain_follow_the_store_and_others_replace_them() {
    let position = FeedPosition { unchanged_since: version(3), position: version(9) };
    let feed = FeedPositions { config: position, backends: position };
    let follows = |from: &str, sequence, feed| {
        let report =
            PeerReport::Entry { leaving: false, feed, config: None, load: LoadStatus::default() };
        message(from, "a", sequence, report)
    };
    let mut view = PeerView::default();
    let own: EntryId = "d".into();
    let must = |view: &PeerView, now| must_follow(view.followers_before(&own, now));
    assert!(must(&view, Tick(0)), "alone");
    view.record(follows("a", 1, Some(feed)), Tick(0));
    view.record(follows("e", 1, Some(feed)), Tick(0));
    assert!(must(&view, Tick(0)), "an entry that comes later in the order does not count");
    view.record(follows("b", 1, Some(feed)), Tick(0));
    assert!(!must(&view, Tick(0)));
    view.record(follows("b", 2, None), Tick(10));
    assert!(must(&view, Tick(10)), "the store does not respond to the second one");
    view.record(follows("c", 1, Some(feed)), Tick(20));
    assert!(!must(&view, Tick(20)));
    assert!(must(&view, Tick(1_510)), "the first one is gone");
}

fn sighting(observer: &str, condition: Condition) -> Sighting {
    Sighting { backend: BACKEND, condition, observer: observer.into(), within_domain: true }
}

#[test]
fn a_loss_is_believed_when_two_entries_report_it_and_a_recovery_when_one_does() {
    let mut sightings = Sightings::default();
    let mut record = |observer: &str, condition, now| {
        sightings.record(&sighting(observer, condition), Tick(now))
    };
    assert_eq!(record("one", Condition::Down, 0), SightingStep::Verify);
    assert_eq!(record("one", Condition::Down, 5), SightingStep::Ignore, "the same observer");
    assert_eq!(record("two", Condition::Down, 10), SightingStep::Accept);
    assert_eq!(record("three", Condition::Down, 20), SightingStep::Ignore, "not passed on");
    assert_eq!(record("one", Condition::Up, 500), SightingStep::Accept);
    assert_eq!(record("two", Condition::Up, 510), SightingStep::Ignore);
    assert_eq!(record("two", Condition::Down, 900), SightingStep::Verify, "down again");
    assert_eq!(record("three", Condition::Down, 3_000), SightingStep::Verify, "long after");
}

#[test]
fn entries_of_a_large_fleet_check_a_lost_engine_less_often_each() {
    let interval = |live| recovery_check_interval(Millis(400), live);
    assert_eq!(
        (interval(1), interval(15), interval(103)),
        (Millis(400), Millis(400), Millis(4_800))
    );
}
