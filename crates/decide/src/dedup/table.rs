//! The records of a gate.

use std::collections::HashMap;

use super::{AcceptDecision, AttachDecision, RunPermit, WorkTag};
use crate::ids::{Epoch, IncarnationId, WorkId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Record {
    Accepted,
    Sealed,
}

/// The run-once gate of one incarnation of an agent.
///
/// Records are kept by epoch. When the current epoch is full, the gate opens
/// the next one and drops the records of the epoch before the last. Work made
/// for a dropped epoch is never run, so that forgetting is safe without any
/// clock.
///
/// Invariants: at most two epochs have records, `epoch` and the one before;
/// each holds at most `epoch_capacity` records; a work id stands in at most
/// one of them.
#[derive(Debug)]
pub struct DedupTable {
    incarnation: IncarnationId,
    epoch: Epoch,
    epoch_capacity: usize,
    current: HashMap<WorkId, Record>,
    previous: HashMap<WorkId, Record>,
}

impl DedupTable {
    /// A gate that keeps at most twice `epoch_capacity` records.
    pub fn new(incarnation: IncarnationId, epoch_capacity: usize) -> Self {
        Self {
            incarnation,
            epoch: Epoch::default(),
            epoch_capacity: epoch_capacity.max(1),
            current: HashMap::new(),
            previous: HashMap::new(),
        }
    }

    /// The incarnation that this gate belongs to.
    pub const fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// The current epoch, which new work has to name.
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

    /// Decides on an order to run work.
    pub fn accept(&mut self, tag: &WorkTag) -> AcceptDecision {
        if tag.incarnation != self.incarnation || !self.covers(tag.epoch) {
            return AcceptDecision::NotCurrent;
        }
        self.accept_work(tag.work)
    }

    /// Decides on an order to run work that may be run again under another
    /// work id, for whichever incarnation and epoch it was made.
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

    /// Whether attaching to work can be decided without sealing it.
    pub fn is_decided(&self, tag: &WorkTag) -> bool {
        let current = tag.incarnation == self.incarnation && self.covers(tag.epoch);
        !current || self.record(tag.work).is_some()
    }

    /// Decides on a request to attach to work, and seals work that has not
    /// been accepted.
    pub fn attach(&mut self, tag: &WorkTag) -> AttachDecision {
        if tag.incarnation != self.incarnation {
            return AttachDecision::OtherIncarnation;
        }
        match self.record(tag.work) {
            Some(Record::Accepted) => AttachDecision::Accepted,
            Some(Record::Sealed) => AttachDecision::Sealed,
            None if !self.covers(tag.epoch) => AttachDecision::Forgotten,
            None => {
                self.insert(tag.work, Record::Sealed);
                AttachDecision::Sealed
            }
        }
    }

    /// Turns accepted work that was never given to the backend server into
    /// sealed work. The permit shows that it was not run.
    #[expect(clippy::needless_pass_by_value, reason = "the permit must not be used again")]
    pub fn withdraw(&mut self, permit: RunPermit) {
        let work = permit.work();
        let held_in =
            if self.current.contains_key(&work) { &mut self.current } else { &mut self.previous };
        if let Some(record) = held_in.get_mut(&work) {
            *record = Record::Sealed;
        }
    }

    fn covers(&self, epoch: Epoch) -> bool {
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
