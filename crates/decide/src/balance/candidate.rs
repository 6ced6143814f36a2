//! State of a backend server on which load balancing is based.

use clementine_objects::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::AgentRef;

/// Load of a backend server, as reported by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Mean service time of a request.
    pub service_time: Millis,
}

/// A backend server that a request can be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The backend server's agent.
    pub agent: AgentRef,
    /// Failure domain of the instance.
    pub domain: CompactString,
    /// The agent's last load report.
    pub load: LoadReport,
    /// Requests of this entry in progress at the backend server.
    pub outstanding: u32,
    /// Round-trip time to the agent, in µs.
    pub round_trip_us: u64,
    /// Whether the backend server is suspected of being down, because of recent
    /// failures.
    pub suspected: bool,
}
