//! Identity, state and load of an agent.

use clementine_decide::balance::LoadReport;
use clementine_decide::ids::AgentRef;
use clementine_objects::{PoolName, Revision};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether an agent accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentState {
    /// The backend server does not accept connections.
    Starting,
    /// New work is accepted.
    Ready,
    /// Shutting down: no new work is accepted. This state is final.
    Leaving,
}

/// Current status of an agent, included in its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Reference to the agent, with its incarnation and epoch.
    pub agent: AgentRef,
    /// Whether new work is accepted.
    pub state: AgentState,
    /// Load of the backend server.
    pub load: LoadReport,
    /// Revision of the agent's configuration.
    pub revision: Revision,
}

/// Description of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentDescription {
    /// Pool that the backend server belongs to.
    pub pool: PoolName,
    /// Failure domain of the instance.
    pub domain: CompactString,
    /// Current status of the agent.
    #[serde(rename = "news")]
    pub status: AgentStatus,
}
