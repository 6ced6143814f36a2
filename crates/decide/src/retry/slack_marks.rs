//! What entries tell each other of the slack of retry budgets that they use.

use std::collections::HashMap;

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, IncarnationId, Tick};
use crate::shares::PoolHash;

/// Time for which a report is kept. Reports follow each other every second, so that an
/// older one is of an entry that has been removed.
const RETENTION: Millis = Millis(10 * 60_000);

/// Slack of one pool's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlackMark {
    /// The pool.
    pub pool: PoolHash,
    /// Retries beyond the ratio that the entry may have used in the current window.
    pub retries: u32,
}

/// Report of the slack that an entry may have used, kept by others so that the next
/// process of the entry can ask for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlackReport {
    /// The sender.
    pub from: EntryId,
    /// Incarnation of the sender's process.
    pub incarnation: IncarnationId,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// The pools in which slack is in use.
    pub marks: Vec<SlackMark>,
}

/// Question of a process that has just started: what did the last process of this entry
/// use?
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlackRecall {
    /// The sender.
    pub from: EntryId,
    /// Incarnation of the sender's process.
    pub incarnation: IncarnationId,
}

/// Answer to a [`SlackRecall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlackAnswer {
    /// The sender.
    pub from: EntryId,
    /// The incarnation that asked.
    pub to: IncarnationId,
    /// Number of entries that the sender counts, including itself.
    pub entries: u32,
    /// Time since the entry's last report.
    pub age: Millis,
    /// What the last report said.
    pub marks: Vec<SlackMark>,
}

/// A report and when it arrived.
#[derive(Debug)]
struct Received {
    report: SlackReport,
    at: Tick,
}

/// The last report of each other entry.
#[derive(Debug, Default)]
pub struct SlackReports {
    received: HashMap<EntryId, Received>,
}

impl SlackReports {
    /// Keeps a report unless a later one of the same process has arrived.
    pub fn record(&mut self, report: SlackReport, now: Tick) {
        self.received.retain(|_, known| now.since(known.at) < RETENTION);
        let is_late = self.received.get(&report.from).is_some_and(|known| {
            known.report.incarnation == report.incarnation
                && known.report.sequence >= report.sequence
        });
        if !is_late {
            self.received.insert(report.from.clone(), Received { report, at: now });
        }
    }

    /// The age and the marks of the last report of an entry's earlier processes.
    pub fn recall(&self, recall: &SlackRecall, now: Tick) -> Option<(Millis, Vec<SlackMark>)> {
        let known = self.received.get(&recall.from)?;
        let is_earlier = known.report.incarnation != recall.incarnation;
        is_earlier.then(|| (now.since(known.at), known.report.marks.clone()))
    }
}
