//! The agents of the test world.

use std::collections::HashMap;
use std::net::SocketAddr;

use clementine_decide::gate::{Gate, RunPermit};
use clementine_decide::ids::{AgentRef, IncarnationId, WorkId};
use clementine_decide::operation::RecordedAnswer;

/// Records that one epoch holds; small, so that epochs turn over.
const EPOCH_CAPACITY: usize = 2;

/// How accepted work ended at an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEnd {
    Answered(RecordedAnswer),
    BackendLost,
    NotRun,
}

/// An agent and its former incarnations, which may still run what they have
/// accepted.
#[derive(Debug)]
pub struct AgentSim {
    pub address: SocketAddr,
    pub gate: Gate,
    pub waiting: Vec<RunPermit>,
    pub ended: HashMap<WorkId, JobEnd>,
    /// Permits of replaced incarnations that are frozen and may wake up.
    pub frozen: Vec<RunPermit>,
}

impl AgentSim {
    pub fn new(address: SocketAddr, incarnation: u128) -> Self {
        Self {
            address,
            gate: Gate::new(IncarnationId(incarnation), EPOCH_CAPACITY),
            waiting: Vec::new(),
            ended: HashMap::new(),
            frozen: Vec::new(),
        }
    }

    pub fn agent_ref(&self) -> AgentRef {
        AgentRef {
            address: self.address,
            incarnation: self.gate.incarnation(),
            epoch: self.gate.epoch(),
        }
    }

    /// Replaces the incarnation by a new one at the same address.
    pub fn replace(&mut self, incarnation: u128) {
        let mut new = Self::new(self.address, incarnation);
        new.frozen.append(&mut self.frozen);
        new.frozen.append(&mut self.waiting);
        *self = new;
    }
}
