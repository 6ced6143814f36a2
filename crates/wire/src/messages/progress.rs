//! Progress and outcome of work.

use bytes::Bytes;
use clementine_decide::fleet::BackendIncarnation;
use clementine_objects::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A header of an HTTP request or response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Header name in lower case.
    pub name: CompactString,
    /// Header value, not necessarily UTF-8.
    pub value: Bytes,
}

/// Hop-by-hop headers, and headers that each hop sets itself.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Header {
    /// Returns whether a header applies to a single connection and must not be
    /// forwarded. The name has to be in lower case.
    pub fn is_hop_by_hop(name: &str) -> bool {
        HOP_BY_HOP_HEADERS.contains(&name)
    }
}

/// Status and headers of an HTTP response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers forwarded to the caller.
    pub headers: Vec<Header>,
}

/// Reason why work did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The agent is overloaded and could not have met the deadline.
    Overloaded,
    /// The request is suspected of crashing a backend server, and another
    /// suspect is running here. Suspects run apart so that a crash can be
    /// attributed to one of them.
    SuspectsApart,
    /// The deadline passed while the work was queued.
    DeadlinePassed,
    /// The agent is shutting down.
    Leaving,
    /// The work was sealed, or was issued for another incarnation or epoch.
    NotCurrent,
    /// The backend server accepts no connections.
    BackendDown,
    /// The request is quarantined because it has crashed backend servers.
    Quarantined,
    /// The caller cancelled the request before it started.
    Cancelled,
}

/// Outcome of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkOutcome {
    /// The response is complete.
    Complete,
    /// The work did not run and never will.
    NotRun {
        /// Reason for the refusal.
        reason: NotRunReason,
        /// Time after which the agent expects to have capacity.
        retry_after: Option<Millis>,
    },
    /// The connection to the backend server failed; the work may have run. Names the server
    /// if it may have crashed under the work.
    BackendLost(Option<BackendIncarnation>),
    /// The deadline passed while the work was running.
    DeadlinePassed,
    /// The caller cancelled the request while the work was running.
    Cancelled,
    /// The response exceeded the size that the agent buffers.
    TooLarge,
}

/// Progress of work, starting at the requested offset.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Status and headers; sent once known, and only for offset 0.
    pub head: Option<HttpResponseHead>,
    /// Chunks from the offset on: events of an event stream, or body parts.
    pub chunks: Vec<Bytes>,
    /// Outcome of the work; set once all remaining chunks are included.
    #[serde(rename = "end")]
    pub outcome: Option<WorkOutcome>,
}
