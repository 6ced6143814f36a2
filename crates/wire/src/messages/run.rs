//! Running work.

use bytes::Bytes;
use clementine_decide::dedup::WorkTag;
use clementine_decide::ids::{RequestId, WorkId};
use clementine_decide::quarantine::{CrashReport, Fingerprint};
use clementine_objects::{Millis, Repeat};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{AgentStatus, Header, NotRunReason, Progress, SplitPlan};

/// Instructs an agent to run a request at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The work and the agent incarnation that may run it.
    pub tag: WorkTag,
    /// Id of the caller's request, for logging.
    pub request: RequestId,
    /// Whether the request may be retried elsewhere.
    pub repeat: Repeat,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Headers forwarded to the backend server.
    pub headers: Vec<Header>,
    /// Request body.
    pub body: Bytes,
    /// Time remaining until the deadline.
    pub time_left: Millis,
    /// Priority level from 0 (highest priority) to 9 (lowest).
    pub level: u8,
    /// Content hash that identifies repetitions of the request.
    pub fingerprint: Fingerprint,
    /// Backend servers that crashed under the request, as known to the entry.
    pub crashes: Option<CrashReport>,
    /// Earlier work whose responses the entry has read completely; the agent may
    /// drop these responses.
    #[serde(rename = "done")]
    pub completed: Vec<WorkId>,
    /// Execution plan, if the model is split into stages.
    pub split: Option<SplitPlan>,
}

/// Refusal of a [`RunRequest`]; the work did not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRefusal {
    /// Reason for the refusal.
    pub reason: NotRunReason,
    /// Time after which the agent expects to have capacity.
    pub retry_after: Option<Millis>,
}

/// Response to a [`RunRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResponse {
    /// The work was accepted, by this or an earlier call, with its first
    /// progress.
    Started(Progress, AgentStatus),
    /// The work did not run and never will.
    Refused(RunRefusal, AgentStatus),
}
