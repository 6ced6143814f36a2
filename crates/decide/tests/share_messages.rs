//! Sums of the work of workspaces in the messages that entries exchange.

use clementine_decide::ids::{EntryId, IncarnationId, StoreVersion, Tick};
use clementine_decide::peers::{LoadStatus, PeerMessage, PeerReport, PeerView, send_interval};
use clementine_decide::shares::{
    PoolHash, ShareKey, ShareLedger, Standing, WorkCost, WorkspaceHash,
};
use clementine_objects::Millis;

const KEY: ShareKey = ShareKey { pool: PoolHash(1), workspace: WorkspaceHash(5) };
const START: Tick = Tick(1_000);

/// An entry with its ledger and its view of the others.
struct Entry {
    id: EntryId,
    domain: &'static str,
    sequence: u64,
    ledger: ShareLedger,
    view: PeerView,
}

impl Entry {
    fn new(id: &str, domain: &'static str) -> Self {
        let (ledger, view) = (ShareLedger::default(), PeerView::default());
        Self { id: id.into(), domain, sequence: 0, ledger, view }
    }

    fn message(&mut self, across: bool, now: Tick) -> PeerMessage {
        self.sequence += 1;
        let load = LoadStatus { shares: self.ledger.report(now), ..LoadStatus::default() };
        let report = if across {
            PeerReport::Domain(self.view.summarize(&load, false, 64))
        } else {
            PeerReport::Entry { leaving: false, feed: None, config: None, load }
        };
        PeerMessage {
            from: self.id.clone(),
            domain: self.domain.into(),
            incarnation: IncarnationId(1),
            sequence: self.sequence,
            interval: send_interval(2),
            config_newest: StoreVersion::default(),
            list_newest: StoreVersion::default(),
            planner: None,
            crashes: Vec::new(),
            signals: Vec::new(),
            report,
        }
    }

    fn receive(&mut self, message: PeerMessage, now: Tick) {
        self.view.record(message, now);
        self.apply(now);
    }

    fn apply(&mut self, now: Tick) {
        self.view.remove_expired(now);
        self.ledger.merge(self.view.load_totals().shares);
    }

    fn demand(&self, now: Tick) -> f64 {
        self.ledger.summary(KEY, now).map_or(0.0, |summary| summary.demand)
    }
}

/// Sends the messages of a round: within a domain to each neighbor, across domains the
/// sums of the domain.
fn exchange(entries: &mut [Entry], now: Tick) {
    for from in 0..entries.len() {
        for to in 0..entries.len() {
            if from != to {
                let across = entries[from].domain != entries[to].domain;
                let message = entries[from].message(across, now);
                entries[to].receive(message, now);
            }
        }
    }
}

fn offer(entry: &mut Entry, requests: usize, now: Tick) {
    (0..requests).for_each(|_| entry.ledger.record_offered(KEY, WorkCost::REQUEST, now));
}

/// Guards against sums that are lost or counted twice on the way between domains, and
/// against the work of a lost entry that is counted for longer than 1.5 s.
#[test]
fn all_entries_see_the_work_of_all_and_forget_that_of_a_lost_one() {
    let mut entries = [Entry::new("a1", "a"), Entry::new("a2", "a"), Entry::new("b1", "b")];
    for (entry, requests) in entries.iter_mut().zip([8, 4, 2]) {
        offer(entry, requests, START);
    }
    entries[1].ledger.record_scarce(KEY.pool, START);
    // The first round tells the others that capacity is scarce, which then report.
    (0..3).for_each(|_| exchange(&mut entries, START));
    for entry in &entries {
        let demand = entry.demand(START);
        assert!((demand - 14.0).abs() < 0.01, "{}: {demand}", entry.id);
    }
    let [survivor, _, remote] = &mut entries;
    let later = START.after(Millis(1_500));
    survivor.ledger.record_scarce(KEY.pool, later);
    survivor.apply(later);
    remote.receive(survivor.message(true, later), later);
    let decay = (-1_500.0_f64 / 2_000.0).exp();
    assert!((survivor.demand(later) - 8.0 * decay).abs() < 0.01);
    assert!((remote.demand(later) - 10.0 * decay).abs() < 0.01);
}

/// Guards against entries that tell each other of scarcity after it has ended.
#[test]
fn reports_end_when_capacity_is_no_longer_scarce() {
    let mut entries = [Entry::new("a1", "a"), Entry::new("a2", "a"), Entry::new("b1", "b")];
    entries[0].ledger.record_scarce(KEY.pool, START);
    for round in 0..60 {
        let now = START.after(Millis(round * 100));
        for entry in &mut entries {
            offer(entry, 1, now);
        }
        exchange(&mut entries, now);
        let reports = entries.iter().filter(|entry| !entry.ledger.report(now).is_empty()).count();
        match round {
            2..30 => assert_eq!(reports, 3, "round {round}"),
            35.. => assert_eq!(reports, 0, "round {round}"),
            _ => {}
        }
    }
    let end = START.after(Millis(6_000));
    assert!(entries.iter().all(|entry| entry.ledger.standing(KEY, end) == Standing::Within));
}
