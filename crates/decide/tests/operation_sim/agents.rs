//! Simulated agents.

use std::collections::HashMap;
use std::net::SocketAddr;

use clementine_decide::dedup::{DedupTable, RunPermit};
use clementine_decide::ids::{AgentRef, IncarnationId, WorkId};
use clementine_decide::operation::RecordedResponse;

/// Records per epoch; small, so that epochs advance often.
const EPOCH_CAPACITY: usize = 2;

/// How accepted work ended at an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkResult {
    Answered(RecordedResponse),
    BackendLost,
    NotRun,
}

/// An agent and its former incarnations, which may still execute work that they
/// have accepted.
#[derive(Debug)]
pub struct AgentSim {
    pub address: SocketAddr,
    pub dedup: DedupTable,
    pub waiting: Vec<RunPermit>,
    pub results: HashMap<WorkId, WorkResult>,
    /// Permits of replaced incarnations that are suspended and may resume.
    pub suspended: Vec<RunPermit>,
}

impl AgentSim {
    pub fn new(address: SocketAddr, incarnation: u128) -> Self {
        Self {
            address,
            dedup: DedupTable::new(IncarnationId(incarnation), EPOCH_CAPACITY),
            waiting: Vec::new(),
            results: HashMap::new(),
            suspended: Vec::new(),
        }
    }

    pub fn agent_ref(&self) -> AgentRef {
        AgentRef {
            address: self.address,
            incarnation: self.dedup.incarnation(),
            epoch: self.dedup.epoch(),
        }
    }

    /// Replaces the incarnation by a new one at the same address.
    pub fn replace(&mut self, incarnation: u128) {
        let mut new = Self::new(self.address, incarnation);
        new.suspended.append(&mut self.suspended);
        new.suspended.append(&mut self.waiting);
        *self = new;
    }
}
