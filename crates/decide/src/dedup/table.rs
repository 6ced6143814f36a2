//! The deduplication table.

use std::collections::HashMap;

use super::{AcceptDecision, AttachDecision, RunPermit, WorkTag};
use crate::ids::{Epoch, IncarnationId, WorkId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Record {
    Accepted,
    Sealed,
}

/// The deduplication table of one incarnation of an agent.
///
/// Records are grouped by epoch. When the current epoch is full, the table
/// starts the next one and keeps only the records of the epoch that just ended.
/// Work issued for a discarded epoch is never executed, so discarding records is
/// safe without relying on a clock.
///
/// Invariants: only `epoch` and the epoch before it have records; each has at
/// most `epoch_capacity` records; a work id occurs in at most one of them.
#[derive(Debug)]
pub struct DedupTable {
    incarnation: IncarnationId,
    epoch: Epoch,
    epoch_capacity: usize,
    current: HashMap<WorkId, Record>,
    previous: HashMap<WorkId, Record>,
}

impl DedupTable {
    /// Creates a table that keeps at most twice `epoch_capacity` records.
    pub fn new(incarnation: IncarnationId, epoch_capacity: usize) -> Self {
        Self {
            incarnation,
            epoch: Epoch::default(),
            epoch_capacity: epoch_capacity.max(1),
            current: HashMap::new(),
            previous: HashMap::new(),
        }
    }

    /// The incarnation that this table belongs to.
    pub const fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// The current epoch, for which new work must be issued.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides on a request to execute work.
    pub fn accept(&mut self, tag: &WorkTag) -> AcceptDecision {
        if tag.incarnation != self.incarnation || !self.is_retained(tag.epoch) {
            return AcceptDecision::NotCurrent;
        }
        self.accept_work(tag.work)
    }

    /// Decides on a request to execute work that may be retried under another
    /// work id. Incarnation and epoch are not checked.
    pub fn accept_repeatable(&mut self, work: WorkId) -> AcceptDecision {
        self.accept_work(work)
    }

    fn accept_work(&mut self, work: WorkId) -> AcceptDecision {
        match self.record(work) {
            Some(Record::Accepted) => AcceptDecision::Accepted,
            Some(Record::Sealed) => AcceptDecision::Sealed,
            None => {
                self.insert(work, Record::Accepted);
                AcceptDecision::Run(RunPermit::new(work))
            }
        }
    }

    /// Whether [`DedupTable::attach`] would return without sealing the work.
    pub fn is_decided(&self, tag: &WorkTag) -> bool {
        let current = tag.incarnation == self.incarnation && self.is_retained(tag.epoch);
        !current || self.record(tag.work).is_some()
    }

    /// Decides on a request to attach to work. Seals the work if it has not been
    /// accepted.
    pub fn attach(&mut self, tag: &WorkTag) -> AttachDecision {
        if tag.incarnation != self.incarnation {
            return AttachDecision::OtherIncarnation;
        }
        match self.record(tag.work) {
            Some(Record::Accepted) => AttachDecision::Accepted,
            Some(Record::Sealed) => AttachDecision::Sealed,
            None if !self.is_retained(tag.epoch) => AttachDecision::Forgotten,
            None => {
                self.insert(tag.work, Record::Sealed);
                AttachDecision::Sealed
            }
        }
    }

    /// Seals accepted work that was never sent to the backend server. The unused
    /// permit proves that it was not executed.
    #[expect(clippy::needless_pass_by_value, reason = "the permit must not be used again")]
    pub fn withdraw(&mut self, permit: RunPermit) {
        let work = permit.work();
        let records =
            if self.current.contains_key(&work) { &mut self.current } else { &mut self.previous };
        if let Some(record) = records.get_mut(&work) {
            *record = Record::Sealed;
        }
    }

    /// Whether the records of an epoch are still kept.
    fn is_retained(&self, epoch: Epoch) -> bool {
        epoch == self.epoch || epoch.next() == self.epoch
    }

    fn record(&self, work: WorkId) -> Option<Record> {
        self.current.get(&work).or_else(|| self.previous.get(&work)).copied()
    }

    fn insert(&mut self, work: WorkId, record: Record) {
        if self.current.len() >= self.epoch_capacity {
            self.previous = std::mem::take(&mut self.current);
            self.epoch = self.epoch.next();
        }
        self.current.insert(work, record);
    }
}
