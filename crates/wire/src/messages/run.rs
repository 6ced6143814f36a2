//! Orders to run work.

use bytes::Bytes;
use clementine_decide::gate::WorkTag;
use clementine_decide::ids::{RequestId, WorkId};
use clementine_decide::quarantine::Fingerprint;
use clementine_objects::{Millis, Repeat};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{AgentStatus, Header, NotRunReason, Progress, SplitPlan};

/// An order to run a request once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The work and the incarnation that may run it.
    pub tag: WorkTag,
    /// The caller's request, for logs.
    pub request: RequestId,
    /// Whether the request may be run again elsewhere.
    pub repeat: Repeat,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Headers that are passed on to the backend server.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
    /// Time left until the deadline.
    pub time_left: Millis,
    /// Priority level from 0 (first) to 9 (last).
    pub level: u8,
    /// Identity of the request by content.
    pub fingerprint: Fingerprint,
    /// Backend servers that the entry has seen the request crash.
    pub crashes: u32,
    /// Earlier work whose answers the entry has read to their end.
    pub done: Vec<WorkId>,
    /// The plan, when the model is split.
    pub split: Option<SplitPlan>,
}

/// Refusal of an order; the work did not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRefusal {
    /// Why.
    pub reason: NotRunReason,
    /// When the agent expects to have room.
    pub retry_after: Option<Millis>,
}

/// Answer to an order to run work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResponse {
    /// The work was accepted, now or before; this is its first progress.
    Started(Progress, AgentStatus),
    /// The work did not run and never will.
    Refused(RunRefusal, AgentStatus),
}
