//! A fleet of entries whose requests all fail, so that they use the whole retry budget.

use std::collections::VecDeque;

use clementine_decide::ids::{EntryId, IncarnationId, Tick};
use clementine_decide::peers::EntryCount;
use clementine_decide::retry::{
    Contact, RetryPriority, SharedBudgets, SlackAnswer, SlackRecall, SlackReport, SlackReports,
    WindowLimits,
};
use clementine_decide::shares::PoolHash;
use clementine_objects::Millis;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

pub const POOL: PoolHash = PoolHash(7);
pub const SECOND_MS: u64 = 1_000;
/// Budget of all entries together.
pub const BUDGET: WindowLimits = WindowLimits { window: Millis(10_000), ratio: 0.2, slack: 240.0 };
const STEP_MS: u64 = 10;
/// Requests of the whole fleet in each second.
const REQUESTS_PER_S: f64 = 200.0;
/// Number of entries that keep the reports of one.
const WITNESSES: usize = 6;
const REPORT_MS: u64 = 1_000;
const RECALL_MS: u64 = 200;
/// Time after which an entry that is not heard counts as lost.
const LIVENESS_MS: u64 = 1_500;
const MAX_DELAY_MS: u64 = 30;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed; another one starts at the end.
    Killed,
    /// The process does not run; what arrives waits.
    Frozen,
    /// Messages to and from the entry are lost.
    CutOff,
}

#[derive(Debug, Clone)]
enum Message {
    Report(SlackReport),
    Recall(SlackRecall),
    Answer(SlackAnswer),
}

struct Process {
    started_at: u64,
    budgets: SharedBudgets,
    reports: SlackReports,
    count: EntryCount,
    next_slack_at: u64,
    heard_at: u64,
    inbox: VecDeque<(usize, Message)>,
}

struct Entry {
    id: EntryId,
    process: Option<Process>,
    fault: Option<(Fault, u64)>,
}

/// Arrivals beyond the first of each request in a window, and how many are allowed.
#[derive(Debug)]
#[allow(dead_code, reason = "the end is for messages of failed tests")]
pub struct Window {
    pub end_ms: u64,
    pub repeats: usize,
    pub allowed: f64,
}

pub struct Fleet {
    entries: Vec<Entry>,
    on_the_way: Vec<(u64, usize, usize, Message)>,
    requests: Vec<u64>,
    repeats: Vec<u64>,
    pub faults: Vec<(u64, usize, Fault, u64)>,
    incarnations: u128,
    now: u64,
    rng: SmallRng,
}

impl Fleet {
    pub fn new(entries: usize, seed: u64) -> Self {
        let entry =
            |n| Entry { id: format!("entry-{n}").as_str().into(), process: None, fault: None };
        let mut fleet = Self {
            entries: (0..entries).map(entry).collect(),
            on_the_way: Vec::new(),
            requests: Vec::new(),
            repeats: Vec::new(),
            faults: Vec::new(),
            incarnations: 0,
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for n in 0..entries {
            fleet.start(n);
        }
        fleet
    }

    /// The process has read the list of entries when it starts to serve.
    fn start(&mut self, n: usize) {
        self.incarnations += 1;
        let id = self.entries[n].id.clone();
        let mut count = EntryCount::default();
        count.observe(self.entries.len(), Tick::START);
        let mut budgets = SharedBudgets::new(id, IncarnationId(self.incarnations), BUDGET);
        budgets.set_entry_count(count.get());
        self.entries[n].process = Some(Process {
            started_at: self.now,
            budgets,
            reports: SlackReports::default(),
            count,
            next_slack_at: self.now,
            heard_at: self.now,
            inbox: VecDeque::new(),
        });
    }

    pub fn inject(&mut self, n: usize, fault: Fault, time: u64) {
        self.faults.push((self.now, n, fault, time));
        if self.entries[n].fault.is_some_and(|(earlier, _)| earlier == Fault::Killed) {
            return;
        }
        if fault == Fault::Killed {
            self.entries[n].process = None;
        }
        self.entries[n].fault = Some((fault, self.now + time));
    }

    /// Kills, freezes or cuts off about half of the entries.
    pub fn inject_random_faults(&mut self) {
        for n in 0..self.entries.len() {
            if self.rng.random_bool(0.55) {
                let faults = [Fault::Killed, Fault::Killed, Fault::Frozen, Fault::CutOff];
                let fault = faults[self.rng.random_range(0..faults.len())];
                let time = self.rng.random_range(200..4 * SECOND_MS);
                self.inject(n, fault, time);
            }
        }
    }

    pub fn run(&mut self, time: u64) {
        for _ in 0..time / STEP_MS {
            self.now += STEP_MS;
            self.end_faults();
            self.deliver();
            let mut order: Vec<usize> = (0..self.entries.len()).collect();
            order.shuffle(&mut self.rng);
            for n in order {
                self.step(n);
            }
        }
    }

    fn end_faults(&mut self) {
        for n in 0..self.entries.len() {
            if let Some((fault, until)) = self.entries[n].fault
                && self.now >= until
            {
                self.entries[n].fault = None;
                if fault == Fault::Killed {
                    self.start(n);
                }
            }
        }
    }

    fn is_cut_off(&self, n: usize) -> bool {
        self.entries[n].fault.is_some_and(|(fault, _)| fault == Fault::CutOff)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.on_the_way.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, to, message) in due {
            if let Some(process) = &mut self.entries[to].process {
                process.inbox.push_back((from, message));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.is_cut_off(from) && !self.is_cut_off(to) && !self.rng.random_bool(0.05) {
            let at = self.now + self.rng.random_range(1..MAX_DELAY_MS);
            self.on_the_way.push((at, from, to, message));
        }
    }

    fn send_to_witnesses(&mut self, from: usize, message: &Message) {
        let entries = self.entries.len();
        for step in 1..=WITNESSES.min(entries - 1) {
            self.send(from, (from + step) % entries, message.clone());
        }
    }

    /// Number of others that an entry hears by status messages, which are not simulated.
    fn heard(&self, n: usize) -> usize {
        if self.is_cut_off(n) {
            return 0;
        }
        let is_up = |other: &usize| {
            self.entries[*other].process.is_some()
                && self.entries[*other].fault.is_none_or(|(fault, _)| fault == Fault::Killed)
        };
        (0..self.entries.len()).filter(|other| *other != n).filter(is_up).count()
    }

    fn step(&mut self, n: usize) {
        if self.entries[n].fault.is_some_and(|(fault, _)| fault == Fault::Frozen) {
            return;
        }
        let heard = self.heard(n);
        let Some(mut process) = self.entries[n].process.take() else { return };
        let now = Tick::START.after(Millis(self.now - process.started_at));
        if heard > 0 {
            process.heard_at = self.now;
        }
        process.count.observe(1 + heard, now);
        process.budgets.set_entry_count(process.count.get());
        while let Some((from, message)) = process.inbox.pop_front() {
            self.receive(n, &mut process, from, message, now);
        }
        if self.now >= process.next_slack_at {
            self.send_slack(n, &mut process, now);
        }
        self.serve(n, &mut process, now);
        self.entries[n].process = Some(process);
    }

    fn receive(
        &mut self,
        n: usize,
        process: &mut Process,
        from: usize,
        message: Message,
        now: Tick,
    ) {
        match message {
            Message::Report(report) => process.reports.record(report, now),
            Message::Answer(answer) => {
                process.budgets.record_answer(&answer, now);
            }
            Message::Recall(recall) => {
                if let Some((age, marks)) = process.reports.recall(&recall, now) {
                    let (sender, to) = (self.entries[n].id.clone(), recall.incarnation);
                    let entries = process.count.get() as u32;
                    let answer = SlackAnswer { from: sender, to, entries, age, marks };
                    self.send(n, from, Message::Answer(answer));
                }
            }
        }
    }

    fn send_slack(&mut self, n: usize, process: &mut Process, now: Tick) {
        if let Some(report) = process.budgets.report(now) {
            self.send_to_witnesses(n, &Message::Report(report));
            process.next_slack_at = self.now + REPORT_MS;
        } else {
            self.send_to_witnesses(n, &Message::Recall(process.budgets.recall()));
            process.next_slack_at = self.now + RECALL_MS;
        }
    }

    /// Each request fails, and is sent again if the budget allows it.
    fn serve(&mut self, n: usize, process: &mut Process, now: Tick) {
        let contact = if self.now - process.heard_at < LIVENESS_MS {
            Contact::Heard
        } else {
            Contact::Isolated
        };
        let expected = REQUESTS_PER_S * STEP_MS as f64 / 1_000.0 / self.entries.len() as f64;
        let arrivals = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..arrivals {
            self.requests.push(self.now);
            process.budgets.record_request(POOL, now);
            let decision = process.budgets.try_retry(POOL, RetryPriority::High, contact, now);
            if decision.granted {
                self.repeats.push(self.now);
            }
            if decision.must_report
                && let Some(report) = process.budgets.report(now)
            {
                self.send_to_witnesses(n, &Message::Report(report));
            }
        }
    }

    /// The window in which the budget is exceeded by most, or used most.
    pub fn worst_window(&self) -> Window {
        let length = BUDGET.window.0;
        let count = |times: &[u64], end: u64| {
            let from = times.partition_point(|at| *at + length <= end);
            times.partition_point(|at| *at <= end) - from
        };
        let window = |end: u64| {
            let ends = [end, end - length / 2, end - length];
            let requests = ends.map(|end| count(&self.requests, end)).into_iter().max();
            let allowed = BUDGET.ratio * requests.unwrap_or(0) as f64 + BUDGET.slack;
            Window { end_ms: end, repeats: count(&self.repeats, end), allowed }
        };
        let windows = (length..self.now).step_by(STEP_MS as usize).map(window);
        let excess = |window: &Window| window.repeats as f64 - window.allowed;
        windows.max_by(|a, b| excess(a).total_cmp(&excess(b))).expect("a window")
    }
}
