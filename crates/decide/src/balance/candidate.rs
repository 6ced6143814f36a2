//! What is known of a backend server when a choice is made.

use clementine_objects::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::AgentRef;

/// Load of a backend server by its agent's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that may run at a time.
    pub slots: u32,
    /// Mean time of a request, in ms.
    pub service_time: Millis,
}

/// A backend server that may be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The agent beside the backend server.
    pub agent: AgentRef,
    /// Failure domain of the instance.
    pub domain: CompactString,
    /// The agent's last load report.
    pub load: LoadReport,
    /// Requests of this entry in progress there.
    pub outstanding: u32,
    /// Round trip to the agent, in microseconds.
    pub round_trip_us: u64,
    /// Whether recent failures speak against it.
    pub suspected: bool,
}
