//! An agent's description of itself.

use clementine_decide::balance::LoadReport;
use clementine_decide::ids::AgentRef;
use clementine_objects::{PoolName, Revision};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether an agent takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentState {
    /// The backend server can't be reached or holds nothing yet.
    Starting,
    /// New work is taken.
    Ready,
    /// No new work is taken; an agent never leaves this state.
    Leaving,
}

/// What changes about an agent, carried on its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent with its incarnation and epoch.
    pub agent: AgentRef,
    /// Whether new work is taken.
    pub state: AgentState,
    /// Load of the backend server.
    pub load: LoadReport,
    /// Configuration that the agent holds.
    pub revision: Revision,
}

/// An agent's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentDescription {
    /// Pool that the backend server belongs to.
    pub pool: PoolName,
    /// Failure domain of the instance.
    pub domain: CompactString,
    /// What changes about the agent.
    #[serde(rename = "news")]
    pub status: AgentStatus,
}
