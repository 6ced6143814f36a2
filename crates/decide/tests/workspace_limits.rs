//! Limits of workspaces across entries that learn of each other's use with a delay.

use std::collections::VecDeque;

use clementine_decide::ids::{IncarnationId, Tick};
use clementine_decide::limits::{
    LimitBoard, LimitKind, LimitReport, LimitTotals, LimitUse, MAX_LIMITED_WORKSPACES,
    WorkspaceLimiter, choose_boards,
};
use clementine_decide::shares::WorkspaceHash;
use clementine_objects::{Millis, WorkspaceLimits};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const WORKSPACE: WorkspaceHash = WorkspaceHash(3);
const SIZES: [usize; 4] = [2, 8, 28, 103];
const EXCHANGE_MS: u64 = 150;
const STEP_MS: u64 = 5;

fn rate_limit(limit: u32) -> WorkspaceLimits {
    WorkspaceLimits { requests_per_second: Some(limit), concurrent: None }
}

fn concurrency_limit(limit: u32) -> WorkspaceLimits {
    WorkspaceLimits { requests_per_second: None, concurrent: Some(limit) }
}

/// Entries that share a board. They exchange at different times.
struct Fleet {
    limiters: Vec<WorkspaceLimiter>,
    board: LimitBoard,
    limits: WorkspaceLimits,
    service_ms: u64,
    running: VecDeque<(u64, usize)>,
    now: u64,
    rng: SmallRng,
}

impl Fleet {
    fn new(entries: usize, limits: WorkspaceLimits, service_ms: u64) -> Self {
        let limiter = |n| WorkspaceLimiter::new(IncarnationId(n as u128));
        Self {
            limiters: (0..entries).map(limiter).collect(),
            board: LimitBoard::default(),
            limits,
            service_ms,
            running: VecDeque::new(),
            now: 0,
            rng: SmallRng::seed_from_u64(43),
        }
    }

    /// Sends `rate` requests per second for a time. Returns the number of admitted
    /// requests per second, and the mean and largest number in progress.
    fn run(&mut self, rate: f64, time: Millis) -> (f64, f64, usize) {
        let (mut admitted, mut in_progress, mut most) = (0, 0, 0);
        let steps = time.0 / STEP_MS;
        for _ in 0..steps {
            self.now += STEP_MS;
            let now = Tick(self.now);
            while self.running.front().is_some_and(|(end, _)| *end <= self.now) {
                let (_, entry) = self.running.pop_front().expect("running");
                self.limiters[entry].finish(WORKSPACE, now);
            }
            let mut expected = rate * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                let entry = self.rng.random_range(0..self.limiters.len());
                let arrives = self.rng.random_bool(expected.min(1.0));
                expected -= 1.0;
                if arrives && self.limiters[entry].start(WORKSPACE, &self.limits, now).is_ok() {
                    self.running.push_back((self.now + self.service_ms, entry));
                    admitted += 1;
                }
            }
            in_progress += self.running.len();
            most = most.max(self.running.len());
            for entry in 0..self.limiters.len() {
                if (self.now / STEP_MS + entry as u64).is_multiple_of(EXCHANGE_MS / STEP_MS) {
                    let report = self.limiters[entry].report(now);
                    let totals = self.board.exchange(report, now);
                    self.limiters[entry].merge(totals, now);
                }
            }
        }
        let seconds = time.0 as f64 / 1_000.0;
        (f64::from(admitted) / seconds, in_progress as f64 / steps as f64, most)
    }
}

/// Guards against limits that each entry applies for itself, and against a part of a limit
/// that is lost in rounding when there are more entries than allowed requests.
#[test]
fn the_rate_of_all_entries_together_is_the_limit() {
    for entries in SIZES {
        for limit in [10, 40, 200] {
            let mut fleet = Fleet::new(entries, rate_limit(limit), 200);
            fleet.run(f64::from(limit) * 7.5, Millis(5_000));
            let (rate, ..) = fleet.run(f64::from(limit) * 7.5, Millis(60_000));
            println!("entries={entries} limit={limit} rate={rate:.1}");
            let off = (rate / f64::from(limit) - 1.0).abs();
            assert!(off <= 0.05, "entries={entries} limit={limit} rate={rate}");
        }
    }
}

/// Guards against limits that refuse requests although all entries together stay below.
#[test]
fn requests_below_the_limits_are_admitted() {
    for entries in SIZES {
        let limits = WorkspaceLimits { requests_per_second: Some(60), concurrent: Some(100) };
        let mut fleet = Fleet::new(entries, limits, 1_000);
        let (rate, ..) = fleet.run(40.0, Millis(60_000));
        println!("entries={entries} rate={rate:.1}");
        assert!(rate > 39.0, "entries={entries} rate={rate}");
    }
}

/// Guards against more requests in progress than the limit allows, and against places that
/// stay free because each entry's part is less than one request.
#[test]
fn places_are_filled_and_hardly_exceeded() {
    for entries in SIZES {
        for limit in [20, 100] {
            let mut fleet = Fleet::new(entries, concurrency_limit(limit), 5_000);
            fleet.run(f64::from(limit), Millis(15_000));
            let (_, mean, most) = fleet.run(f64::from(limit), Millis(30_000));
            println!("entries={entries} limit={limit} mean={mean:.1} most={most}");
            assert!(mean >= f64::from(limit) * 0.9, "entries={entries} mean={mean}");
            assert!(most <= limit as usize + 3, "entries={entries} most={most}");
        }
    }
}

/// Guards against a burst after an idle time that exceeds what the limit allows in a
/// second, and against refusals that do not name the limit or a delay.
#[test]
fn a_burst_is_bounded_and_refusals_name_the_limit() {
    let mut limiter = WorkspaceLimiter::new(IncarnationId(1));
    let now = Tick(10_000);
    let mut start = |limits: &WorkspaceLimits| limiter.start(WORKSPACE, limits, now);
    assert_eq!((0..100).filter(|_| start(&rate_limit(10)).is_ok()).count(), 10);
    let refusal = start(&rate_limit(10)).expect_err("refused");
    assert_eq!(refusal.limit, LimitKind::RequestsPerSecond);
    assert_eq!(refusal.retry_after, Some(Millis(2_500)));
    let refusal = start(&concurrency_limit(10)).expect_err("refused");
    assert_eq!(refusal.limit, LimitKind::Concurrent);
    (0..10).for_each(|_| limiter.finish(WORKSPACE, now));
    assert!(limiter.start(WORKSPACE, &concurrency_limit(10), now).is_ok());
    let none = WorkspaceLimits::default();
    assert!((0..100).all(|_| limiter.start(WORKSPACE, &none, now).is_ok()), "no limits declared");
}

/// Guards against an entry without exchange that takes the whole limit although others
/// serve the workspace as well, and against the use of a lost entry that still counts.
#[test]
fn without_exchange_an_entry_takes_an_equal_part() {
    let mut board = LimitBoard::default();
    let mut limiters: Vec<_> = (0..4).map(|n| WorkspaceLimiter::new(IncarnationId(n))).collect();
    let start = Tick(10_000);
    let limits = concurrency_limit(8);
    while limiters[3].start(WORKSPACE, &limits, start).is_ok() {}
    for limiter in &mut limiters {
        let totals = board.exchange(limiter.report(start), start);
        limiter.merge(totals, start);
    }
    let totals = board.exchange(limiters[0].report(start), start);
    assert_eq!((totals.entries, totals.uses[0].in_progress), (3, 8));
    limiters[0].merge(totals, start);
    assert!(limiters[0].start(WORKSPACE, &limits, start).is_err(), "all places are taken");
    let later = start.after(Millis(1_500));
    let mut start = || limiters[0].start(WORKSPACE, &limits, later);
    assert_eq!((0..100).filter(|_| start().is_ok()).count(), 2, "a quarter of the limit");
    let totals = board.exchange(limiters[0].report(later), later);
    assert_eq!((totals.entries, totals.uses.len()), (0, 0));
}

/// Guards against memory that grows with the number of workspaces or entries.
#[test]
fn memory_is_bounded() {
    let mut limiter = WorkspaceLimiter::new(IncarnationId(1));
    for n in 0..1_000 {
        assert!(limiter.start(WorkspaceHash(n), &rate_limit(10), Tick(0)).is_ok());
        assert!(limiter.tracked() <= MAX_LIMITED_WORKSPACES);
    }
    assert_eq!(limiter.report(Tick(0)).uses.len(), MAX_LIMITED_WORKSPACES);
    let mut board = LimitBoard::default();
    let impossible =
        LimitUse { workspace: WORKSPACE, offered: f32::NAN, started: 0.0, in_progress: 0 };
    for n in 0..3_000 {
        let uses = vec![impossible; 100];
        let totals = board.exchange(LimitReport { from: IncarnationId(n), uses }, Tick(0));
        assert!(board.entries() <= 1_024 && totals.uses.is_empty());
    }
    let totals = LimitTotals { entries: 1, uses: vec![impossible] };
    let mut limiter = WorkspaceLimiter::new(IncarnationId(1));
    limiter.merge(totals, Tick(0));
    assert!(limiter.start(WORKSPACE, &concurrency_limit(1), Tick(0)).is_ok());
}

/// Guards against entries that exchange through different agents, and against boards that
/// all move when the list changes.
#[test]
fn entries_choose_the_same_boards() {
    let agent = |n: u8| std::net::SocketAddr::from(([10, 0, 0, n], 7_000));
    let boards = choose_boards((0..40).map(agent));
    assert_eq!(boards, choose_boards((0..40).rev().map(agent)));
    assert_eq!(boards.len(), 2);
    let changed = choose_boards((0..40).map(agent).filter(|address| *address != boards[0]));
    assert_eq!(changed[0], boards[1]);
}
