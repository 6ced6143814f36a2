//! A fleet of entries that admit requests to the slots of one pool, with views of each
//! other that lag.

use std::collections::VecDeque;

use clementine_decide::ids::{Tick, WorkspaceId};
use clementine_decide::shares::{PoolHash, ShareKey, ShareLedger, ShareTotals, Standing, WorkCost};
use clementine_objects::Millis;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const POOL: PoolHash = PoolHash(1);
const DOMAINS: usize = 3;
const STEP_MS: u64 = 5;
const REPORT_MS: u64 = 100;
const MAX_WAIT_MS: u64 = 75;
const SERVICE_MS: u64 = 2_000;

pub fn key(workspace: usize) -> ShareKey {
    let workspace = WorkspaceId::from(format!("workspace-{workspace}").as_str());
    ShareKey { pool: POOL, workspace: (&workspace).into() }
}

struct Waiting {
    workspace: usize,
    entry: usize,
    since: u64,
    /// Time at which the caller gives up.
    until: u64,
}

pub struct Fleet {
    pub ledgers: Vec<ShareLedger>,
    /// Age of the other entries' sums; `None` for one central ledger.
    lag: Option<Millis>,
    entries: usize,
    slots: usize,
    /// Requests per second of each workspace.
    pub rates: Vec<f64>,
    /// Time for which a workspace repeats refused requests at once.
    pub repeat_ms: Vec<u64>,
    pub served: Vec<f64>,
    pub offered: Vec<f64>,
    waiting: Vec<Waiting>,
    running: VecDeque<u64>,
    on_the_way: VecDeque<(u64, Vec<ShareTotals>)>,
    pub now: u64,
    /// Generator of the arrivals, which are the same whatever is admitted.
    arrivals: SmallRng,
    rng: SmallRng,
}

impl Fleet {
    pub fn new(entries: usize, lag: Option<Millis>, slots: usize, rates: &[f64]) -> Self {
        let ledgers = if lag.is_some() { entries } else { 1 };
        Self {
            ledgers: (0..ledgers).map(|_| ShareLedger::default()).collect(),
            lag,
            entries,
            slots,
            rates: rates.to_vec(),
            repeat_ms: vec![0; rates.len()],
            served: vec![0.0; rates.len()],
            offered: vec![0.0; rates.len()],
            waiting: Vec::new(),
            running: VecDeque::new(),
            on_the_way: VecDeque::new(),
            now: 0,
            arrivals: SmallRng::seed_from_u64(40),
            rng: SmallRng::seed_from_u64(41),
        }
    }

    pub fn run(&mut self, time: Millis) {
        for _ in 0..time.0 / STEP_MS {
            self.now += STEP_MS;
            self.running.retain(|end| *end > self.now);
            self.refuse();
            self.arrive();
            self.admit();
            self.exchange();
        }
    }

    /// Requests served since the last call, by workspace.
    pub fn take_served(&mut self) -> Vec<f64> {
        let none = vec![0.0; self.rates.len()];
        std::mem::replace(&mut self.served, none)
    }

    pub fn ledger(&mut self, entry: usize) -> &mut ShareLedger {
        let at = entry.min(self.ledgers.len() - 1);
        &mut self.ledgers[at]
    }

    fn offer(&mut self, workspace: usize, until: u64) {
        let (entry, now) = (self.rng.random_range(0..self.entries), self.now);
        self.offered[workspace] += 1.0;
        self.ledger(entry).record_offered(key(workspace), WorkCost::REQUEST, Tick(now));
        self.waiting.push(Waiting { workspace, entry, since: now, until });
    }

    /// Refuses the requests that have waited too long or that are not to wait. Some
    /// callers repeat at once.
    fn refuse(&mut self) {
        let (now, ledgers) = (self.now, &self.ledgers);
        let is_over = |w: &mut Waiting| {
            let ledger = &ledgers[w.entry.min(ledgers.len() - 1)];
            ledger.is_over_share(key(w.workspace), Tick(now))
        };
        let refused = |w: &mut Waiting| now - w.since > MAX_WAIT_MS || is_over(w);
        let refused: Vec<_> = self.waiting.extract_if(.., refused).collect();
        for request in refused.iter().filter(|w| w.until > now) {
            self.offer(request.workspace, request.until);
        }
    }

    fn arrive(&mut self) {
        for workspace in 0..self.rates.len() {
            let mut expected = self.rates[workspace] * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.arrivals.random_bool(expected.min(1.0)) {
                    self.offer(workspace, self.now + self.repeat_ms[workspace]);
                }
                expected -= 1.0;
            }
        }
    }

    /// Each free slot is found by the entries in random order, which give it to the
    /// first of their waiting requests. Requests over their share take slots for which
    /// nobody waits.
    fn admit(&mut self) {
        let now = Tick(self.now);
        let mut order: Vec<(bool, u64, Standing, u64, usize)> = Vec::new();
        let lots: Vec<u64> = (0..self.entries).map(|_| self.rng.random()).collect();
        for n in 0..self.waiting.len() {
            let Waiting { workspace, entry, since, .. } = self.waiting[n];
            let standing = self.ledger(entry).standing(key(workspace), now);
            order.push((standing == Standing::Over, lots[entry], standing, since, n));
        }
        order.sort_unstable();
        let free = self.slots - self.running.len();
        let mut admitted: Vec<usize> = order.iter().take(free).map(|(.., n)| *n).collect();
        admitted.sort_unstable();
        for n in admitted.into_iter().rev() {
            let Waiting { workspace, entry, .. } = self.waiting.swap_remove(n);
            self.ledger(entry).record_admitted(key(workspace), WorkCost::REQUEST, now);
            self.served[workspace] += 1.0;
            let service = self.rng.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
            self.running.push_back(self.now + service);
        }
        for n in 0..self.waiting.len() {
            let entry = self.waiting[n].entry;
            self.ledger(entry).record_scarce(POOL, now);
        }
    }

    /// Sends the sums, by failure domain as the entries do, and merges those that arrive.
    fn exchange(&mut self) {
        let Some(lag) = self.lag.filter(|_| self.now.is_multiple_of(REPORT_MS)) else { return };
        let now = Tick(self.now);
        let reports: Vec<_> = self.ledgers.iter().map(|ledger| ledger.report(now)).collect();
        let mut domains = vec![ShareTotals::default(); DOMAINS];
        for (n, report) in reports.iter().enumerate() {
            domains[n % DOMAINS].add(report);
        }
        let summaries: Vec<_> = domains.into_iter().map(ShareTotals::into_status).collect();
        let views = (0..self.entries).map(|entry| {
            let mut view = ShareTotals::default();
            let neighbors = (entry % DOMAINS..self.entries).step_by(DOMAINS);
            neighbors.filter(|n| *n != entry).for_each(|n| view.add(&reports[n]));
            let remote = (0..DOMAINS).filter(|domain| *domain != entry % DOMAINS);
            remote.for_each(|domain| view.add(&summaries[domain]));
            view
        });
        self.on_the_way.push_back((self.now + lag.0, views.collect()));
        while self.on_the_way.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, views) = self.on_the_way.pop_front().expect("views");
            for (ledger, view) in self.ledgers.iter_mut().zip(views) {
                ledger.merge(view);
            }
        }
    }
}
