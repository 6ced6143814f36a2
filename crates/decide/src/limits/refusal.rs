//! Refusal of a request by a limit.

use std::fmt;

use clementine_objects::Millis;

/// A limit of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitKind {
    /// Requests started per second.
    RequestsPerSecond,
    /// Requests in progress.
    Concurrent,
}

impl fmt::Display for LimitKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RequestsPerSecond => "requests-per-second",
            Self::Concurrent => "concurrent",
        })
    }
}

/// A request that exceeds a limit. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// The limit.
    pub limit: LimitKind,
    /// Time after which a retry may be within the limit, if it can be predicted.
    pub retry_after: Option<Millis>,
}
