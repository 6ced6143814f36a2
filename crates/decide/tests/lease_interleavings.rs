//! Random interleavings of processes that compete for a lease, while the store is
//! restored from older copies and carries writes out late.

use std::collections::BTreeMap;

use clementine_decide::ids::{EntryId, IncarnationId, StoreEra, StoreVersion, Tick};
use clementine_decide::lease::{FencingNumber, LeaseLimits, LeaseRow, LeaseState, LeaseStep};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 400;
const STEPS: u64 = 600;
/// Time between two steps of the simulation, in ms.
const STEP_MS: u64 = 60;
const PROCESSES: usize = 3;

/// The lease row in the store.
#[derive(Debug, Clone, Default)]
struct Content {
    number: u64,
    row: Option<(u64, LeaseRow)>,
}

#[derive(Debug, Default)]
struct Store {
    era: StoreEra,
    content: Content,
    copies: Vec<Content>,
}

impl Store {
    /// Writes the row if its version has the expected number.
    fn write(&mut self, expected: u64, row: LeaseRow) -> Option<StoreVersion> {
        let current = self.content.row.as_ref().map_or(0, |(number, _)| *number);
        if current != expected {
            return None;
        }
        self.content.number += 1;
        self.content.row = Some((self.content.number, row));
        Some(StoreVersion { era: self.era, number: self.content.number })
    }

    fn read(&self) -> Option<(StoreVersion, LeaseRow)> {
        let (number, row) = self.content.row.clone()?;
        Some((StoreVersion { era: self.era, number }, row))
    }
}

/// A write on its way to the store.
#[derive(Debug)]
struct Sent {
    process: usize,
    expected: u64,
    row: LeaseRow,
    at: Tick,
    /// Whether the process still waits for the response.
    awaited: bool,
}

struct Simulation {
    store: Store,
    processes: Vec<LeaseState>,
    sent: Vec<Sent>,
    rng: SmallRng,
    now: Tick,
    /// Highest fencing number with which any process has acted, and who acted with
    /// each.
    highest: FencingNumber,
    highest_since: Tick,
    actors: BTreeMap<FencingNumber, usize>,
    /// Fencing number of the last action of each process.
    last_fence: [Option<FencingNumber>; PROCESSES],
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let process = |n: usize| {
            let entry: EntryId = format!("entry-{n}").as_str().into();
            LeaseState::new(LeaseLimits::default(), entry, IncarnationId(n as u128))
        };
        Self {
            store: Store { copies: vec![Content::default()], ..Store::default() },
            processes: (0..PROCESSES).map(process).collect(),
            sent: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: Tick(0),
            highest: FencingNumber(0),
            highest_since: Tick(0),
            actors: BTreeMap::new(),
            last_fence: [None; PROCESSES],
        }
    }

    fn step(&mut self) {
        self.now = Tick(self.now.0 + STEP_MS);
        match self.rng.random_range(0..100) {
            0..50 => self.call_store(),
            50..80 => self.deliver(),
            80..84 => self.give_up_waiting(),
            84..90 => self.store.copies.push(self.store.content.clone()),
            90..95 => self.restore(),
            _ => {}
        }
        self.act();
    }

    /// A process renews or reads the row, unless it waits for a response.
    fn call_store(&mut self) {
        let process = self.rng.random_range(0..PROCESSES);
        if self.sent.iter().any(|write| write.process == process && write.awaited) {
            return;
        }
        let lease = &mut self.processes[process];
        let step = lease.renewal(self.now).unwrap_or_else(|| {
            lease.record_era(self.store.era);
            let read = self.store.read();
            lease.record_read(read.as_ref().map(|(version, row)| (*version, row)), self.now)
        });
        if let LeaseStep::Write { expected, row } = step {
            self.sent.push(Sent { process, expected, row, at: self.now, awaited: true });
        }
    }

    /// The store carries out one of the writes on their way, in any order.
    fn deliver(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let write = self.sent.swap_remove(self.rng.random_range(0..self.sent.len()));
        let term = write.row.term;
        let written = self.store.write(write.expected, write.row);
        if !write.awaited {
            return;
        }
        match written {
            Some(version) => {
                self.processes[write.process].record_write(version, term, write.at);
            }
            None => self.processes[write.process].record_conflict(),
        }
    }

    /// A process stops waiting for a response. The write is carried out later.
    fn give_up_waiting(&mut self) {
        let awaited: Vec<usize> =
            (0..self.sent.len()).filter(|at| self.sent[*at].awaited).collect();
        if let Some(at) = awaited.choose(&mut self.rng) {
            self.sent[*at].awaited = false;
        }
    }

    fn restore(&mut self) {
        if let Some(copy) = self.store.copies.choose(&mut self.rng) {
            self.store.content = copy.clone();
            self.store.era.0 += 1;
        }
    }

    /// Each process that may act does so. A process that begins to act after another
    /// one has a higher fencing number than all before, none is used by two, and
    /// a superseded process ends within the validity of its lease.
    fn act(&mut self) {
        for process in 0..PROCESSES {
            let Some(fence) = self.processes[process].fence(self.now) else { continue };
            let actor = *self.actors.entry(fence).or_insert(process);
            assert_eq!(actor, process, "two processes act with {fence}");
            if self.last_fence[process] != Some(fence) {
                assert!(fence > self.highest, "{fence} after {}", self.highest);
                self.last_fence[process] = Some(fence);
                (self.highest, self.highest_since) = (fence, self.now);
            }
            let overlap = self.now.since(self.highest_since);
            let superseded = fence < self.highest;
            assert!(!superseded || overlap <= LeaseLimits::default().valid_for, "{fence}");
        }
    }
}

#[test]
fn no_two_holders_act_with_the_same_or_a_falling_fence() {
    let mut acted = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        acted += simulation.actors.len();
    }
    assert!(acted > SEEDS as usize, "{acted} leases were acquired in all");
}
