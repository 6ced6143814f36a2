//! This entry's share of the retry budgets, one for each pool, that all entries share.
//!
//! The ratio applies to an entry's own requests. The slack is divided evenly among all
//! entries that are known, whether or not they are heard at the moment: one that is down,
//! frozen or cut off may have used its share in the current window, or still use it.
//!
//! The use of the slack outlives the process. An entry reports it to a few others, before
//! it goes beyond what it has reported. A process that starts asks them, and counts as
//! used what the last process reported, or its whole share until it knows, for the first
//! window.

use std::collections::{HashMap, HashSet};

use clementine_objects::Millis;

use super::slack_marks::{SlackAnswer, SlackMark, SlackRecall, SlackReport};
use super::{WindowBudget, WindowLimits, WindowUsage};
use crate::ids::{EntryId, IncarnationId, Tick};
use crate::shares::PoolHash;

/// Fraction of the budget that the entries use. The rest is headroom for retries that
/// arrive in another window than the one in which they are counted.
const USED_FRACTION: f64 = 0.85;
/// Minimum number of entries among which the slack is divided. Applies while this entry
/// knows of no others.
const MIN_ENTRY_COUNT: usize = 4;
/// Fraction of the budget that is reserved for retries of high priority.
const HIGH_PRIORITY_RESERVE: f64 = 0.4;
/// Retries by which a report is ahead of the use, so that not each retry needs one.
const REPORT_STEP: u32 = 2;
/// Maximum time between the last report of an entry's process and the start of the next
/// one, for which one answer is enough: the process was not out of touch when it ended.
const MAX_UNREPORTED: Millis = Millis(2_500);
/// Number of answers that are enough however old the reports are.
const ENOUGH_ANSWERS: usize = 2;

/// Whether a retry may use the reserved part of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPriority {
    /// May not use the reserve: a stream of which the caller has received nothing yet.
    Low,
    /// May use the whole budget: a stream that the caller is already receiving, or a
    /// request without a stream.
    High,
}

/// Whether this entry hears others, which then hear its reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It hears others, or there are none.
    Heard,
    /// It hears none of the others: it uses no more slack than it has reported.
    Isolated,
}

/// A decision on a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether the budget allows it.
    pub granted: bool,
    /// Whether [`SharedBudgets::report`] has to be sent now.
    pub must_report: bool,
    /// What has been counted in the current window.
    pub usage: WindowUsage,
    /// Part of the slack that counts as used by earlier processes of this entry.
    pub inherited: f64,
}

#[derive(Debug)]
struct PoolBudget {
    window: WindowBudget,
    /// Slack that earlier processes of this entry used in the window in which this one
    /// started, as far as others have told.
    inherited: u32,
    /// Slack that has been reported as used.
    reported: u32,
}

/// This entry's share of the retry budget of each pool.
#[derive(Debug)]
pub struct SharedBudgets {
    entry: EntryId,
    incarnation: IncarnationId,
    /// Budget of a pool for all entries together.
    total: WindowLimits,
    /// Number of entries among which the slack is divided.
    entry_count: usize,
    /// Entries that have told what earlier processes of this entry used.
    answered: HashSet<EntryId>,
    /// Whether they have told enough.
    has_recalled: bool,
    /// Sequence number of the last report.
    sequence: u64,
    pools: HashMap<PoolHash, PoolBudget>,
}

impl SharedBudgets {
    /// Creates the budgets of a process that has just started.
    pub fn new(entry: EntryId, incarnation: IncarnationId, total: WindowLimits) -> Self {
        Self {
            entry,
            incarnation,
            total,
            entry_count: MIN_ENTRY_COUNT,
            answered: HashSet::new(),
            has_recalled: false,
            sequence: 0,
            pools: HashMap::new(),
        }
    }

    /// Sets the number of entries that share the budgets.
    pub fn set_entry_count(&mut self, count: usize) {
        self.entry_count = count.max(MIN_ENTRY_COUNT);
    }

    /// Number of entries among which the slack is divided.
    pub const fn entry_count(&self) -> usize {
        self.entry_count
    }

    /// Changes the budget of all entries together.
    pub const fn set_total(&mut self, total: WindowLimits) {
        self.total = total;
    }

    /// Records a caller's request, which increases the pool's budget.
    pub fn record_request(&mut self, pool: PoolHash, now: Tick) {
        self.pool(pool).window.record_request(now);
    }

    /// Takes a retry from a pool's budget.
    pub fn try_retry(
        &mut self,
        pool: PoolHash,
        priority: RetryPriority,
        contact: Contact,
        now: Tick,
    ) -> RetryDecision {
        let reserved_share = match priority {
            RetryPriority::Low => HIGH_PRIORITY_RESERVE,
            RetryPriority::High => 0.0,
        };
        let (share, inherited, must_recall) =
            (self.share(), self.inherited(pool, now), self.must_recall(now));
        let (window, ratio) = (self.total.window, self.ratio());
        let budget = self.pool(pool);
        let usable = match contact {
            Contact::Heard => share,
            Contact::Isolated => share.min(f64::from(budget.reported)),
        };
        let slack = (usable - inherited).max(0.0);
        budget.window.set_limits(WindowLimits { window, ratio, slack });
        let granted = budget.window.try_retry(reserved_share, now);
        let usage = budget.window.usage(now);
        let used = slack_used(&usage, ratio, inherited);
        let must_report = !must_recall && used > budget.reported;
        RetryDecision { granted, must_report, usage, inherited }
    }

    /// Counts a retry that was granted earlier at the time at which it is sent.
    pub fn record_sent(&mut self, pool: PoolHash, granted_at: Tick, now: Tick) {
        self.pool(pool).window.move_retry(granted_at, now);
    }

    /// The next report of the slack in use, which others must get before more is used.
    /// `None` while it is not known what earlier processes used, whose reports must stay.
    pub fn report(&mut self, now: Tick) -> Option<SlackReport> {
        if self.must_recall(now) {
            return None;
        }
        self.sequence += 1;
        let (ratio, share, in_first_window) =
            (self.ratio(), self.share().ceil() as u32, self.in_first_window(now));
        for budget in self.pools.values_mut() {
            let inherited = if in_first_window { f64::from(budget.inherited) } else { 0.0 };
            let used = slack_used(&budget.window.usage(now), ratio, inherited);
            let ahead = (used + REPORT_STEP).min(share).max(used);
            budget.reported = if used == 0 { 0 } else { ahead };
        }
        let used = self.pools.iter().filter(|(_, budget)| budget.reported > 0);
        let marks = used.map(|(pool, budget)| SlackMark { pool: *pool, retries: budget.reported });
        Some(SlackReport {
            from: self.entry.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            marks: marks.collect(),
        })
    }

    /// Whether others have to be asked what earlier processes of this entry used.
    pub const fn must_recall(&self, now: Tick) -> bool {
        !self.has_recalled && self.in_first_window(now)
    }

    /// The question to ask while [`Self::must_recall`] holds.
    pub fn recall(&self) -> SlackRecall {
        SlackRecall { from: self.entry.clone(), incarnation: self.incarnation }
    }

    /// Records that no entry has run before this one: nothing has been used.
    pub const fn record_no_past(&mut self) {
        self.has_recalled = true;
    }

    /// Records an answer. Returns whether it is the one with which enough is known.
    pub fn record_answer(&mut self, answer: &SlackAnswer, now: Tick) -> bool {
        if answer.to != self.incarnation {
            return false;
        }
        for mark in &answer.marks {
            let budget = self.pool(mark.pool);
            budget.inherited = budget.inherited.max(mark.retries);
        }
        self.answered.insert(answer.from.clone());
        let is_fresh = now.before(answer.age) >= Tick::START.before(MAX_UNREPORTED);
        let is_enough = is_fresh || self.answered.len() >= ENOUGH_ANSWERS;
        let is_last_needed = is_enough && !self.has_recalled;
        self.has_recalled |= is_enough;
        is_last_needed
    }

    /// Part of each request that the entries use as budget.
    fn ratio(&self) -> f64 {
        self.total.ratio * USED_FRACTION
    }

    /// This entry's share of the slack of each pool.
    fn share(&self) -> f64 {
        self.total.slack * USED_FRACTION / self.entry_count as f64
    }

    /// Part of the share that counts as used by earlier processes.
    fn inherited(&self, pool: PoolHash, now: Tick) -> f64 {
        if self.must_recall(now) {
            return self.share();
        }
        let budget = self.pools.get(&pool).filter(|_| self.in_first_window(now));
        budget.map_or(0.0, |budget| f64::from(budget.inherited))
    }

    /// Whether retries of an earlier process can be in the current window.
    const fn in_first_window(&self, now: Tick) -> bool {
        now.uptime().0 < self.total.window.0
    }

    fn pool(&mut self, pool: PoolHash) -> &mut PoolBudget {
        let total = self.total;
        self.pools.entry(pool).or_insert_with(|| PoolBudget {
            window: WindowBudget::new(total),
            inherited: 0,
            reported: 0,
        })
    }
}

/// Retries beyond the ratio, with those of earlier processes.
fn slack_used(usage: &WindowUsage, ratio: f64, inherited: f64) -> u32 {
    let own = f64::from(usage.retries) - ratio * f64::from(usage.requests);
    (own.max(0.0) + inherited).ceil() as u32
}
