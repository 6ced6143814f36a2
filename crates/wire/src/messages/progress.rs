//! Answers of backend servers, whole or in part.

use bytes::Bytes;
use clementine_objects::Millis;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A header of a request or answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: CompactString,
    /// Value, which need not be UTF-8.
    pub value: Bytes,
}

/// Headers that concern one connection only, or that are set anew on each.
const CONNECTION_HEADERS: [&str; 8] = [
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
    /// Whether a header, named in lower case, concerns one connection only and
    /// is not passed on.
    pub fn is_hop_by_hop(name: &str) -> bool {
        CONNECTION_HEADERS.contains(&name)
    }
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are passed on to the caller.
    pub headers: Vec<Header>,
}

/// Why work did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// It could not have been answered within its deadline.
    Overloaded,
    /// It has crashed a backend server, and another such request runs here.
    SuspectsApart,
    /// Its deadline passed while it waited.
    DeadlinePassed,
    /// The agent is shutting down.
    Leaving,
    /// It was sealed, or made for another incarnation or epoch.
    NotCurrent,
    /// The backend server accepts no connections.
    BackendDown,
    /// The request has crashed backend servers.
    Quarantined,
    /// The caller gave it up before it started.
    Cancelled,
}

/// How work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkOutcome {
    /// The answer is whole.
    Complete,
    /// The work did not run and never will.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When the agent expects to have room.
        retry_after: Option<Millis>,
    },
    /// The backend server broke off; it may have run the work.
    BackendLost,
    /// The deadline passed while the work ran.
    DeadlinePassed,
    /// The caller gave the work up while it ran.
    Cancelled,
    /// The answer was larger than the agent keeps.
    TooLarge,
}

/// Progress of work since the offset that was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Status and headers, once known and when the offset is 0.
    pub head: Option<HttpResponseHead>,
    /// Chunks from the offset on: events of a stream, or parts of a body.
    pub chunks: Vec<Bytes>,
    /// How the work ended, once all chunks up to the end are included.
    pub end: Option<WorkOutcome>,
}
