//! A small world in which operations are driven: one key, a table service, two
//! agents with real gates, and a service that records what ran.

mod agents;
mod ports;
mod scheduler;
mod table;

use std::cell::RefCell;
use std::rc::Rc;

use clementine_decide::ids::WorkId;
use clementine_decide::operation::{OperationResult, RequestDigest};

pub use agents::AgentSim;
pub use ports::AttemptPorts;
pub use scheduler::run_interleaving;
pub use table::TableSim;

/// The world; shared by all attempts.
#[derive(Debug, Default)]
pub struct Simulation {
    pub table: TableSim,
    pub agents: Vec<AgentSim>,
    /// Tokens in the order in which the service ran them.
    pub service_runs: Vec<WorkId>,
    pub calls: Vec<ports::PendingCall>,
    pub next_token: u128,
}

/// What became of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptResult {
    /// Tokens that the attempt drew.
    pub tokens: Vec<WorkId>,
    /// Runs of the service before the attempt started.
    pub runs_before: usize,
    /// Digest of its request.
    pub digest: RequestDigest,
    /// Whether its entry crashed.
    pub crashed: bool,
    /// Its settlement; `None` when its entry crashed before.
    pub settled: Option<OperationResult>,
}

pub type SharedSimulation = Rc<RefCell<Simulation>>;
