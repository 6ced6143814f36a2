//! Error kinds and the HTTP response to each.

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use super::Outcome;

/// Every kind of error that can be returned to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    InvalidRequest,
    /// The bearer token is missing or does not belong to a workspace.
    InvalidToken,
    /// The workspace is not authorized for the model or route.
    NotPermitted,
    /// No route or model of that name exists.
    NotFound,
    /// A header, the body or the prompt exceeds its size limit.
    TooLarge,
    /// A request that must not be executed twice has no idempotency key.
    KeyMissing,
    /// The idempotency key was already used with a different request.
    KeyReused,
    /// The workspace has exceeded one of its rate or concurrency limits.
    LimitReached,
    /// No backend server can respond within the deadline.
    Overloaded,
    /// No backend server that could execute the request is known.
    NoBackend,
    /// The table service does not respond, so the operation cannot be claimed and
    /// has not been executed.
    StoreUnavailable,
    /// The table service does not respond, so it is unknown whether an earlier
    /// request with the same key was executed.
    ClaimUnreadable,
    /// The deadline passed before the request was executed.
    DeadlineBeforeRun,
    /// The process is shutting down.
    ShuttingDown,
    /// The request is rejected because it has crashed backend servers before.
    Quarantined,
    /// Backend servers have crashed repeatedly while they ran the request, which
    /// is refused for some time.
    SuspectedCrash,
    /// The request crashed backend servers and is not retried.
    CrashedBackends,
    /// The backend server failed while executing the request.
    BackendFailed,
    /// The connection to the backend server was lost during execution.
    BackendLost,
    /// The agent that owns the request is unreachable.
    AgentUnreachable,
    /// The agent that owned the request has been replaced.
    AgentReplaced,
    /// The deadline passed during execution.
    DeadlineWhileRunning,
}

/// The HTTP response to a kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `type` field of the JSON error.
    pub error_type: &'static str,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Default retry delay, where retrying helps; the component that reports the
    /// error may provide a more accurate one.
    pub retry_after: Option<Millis>,
}

const RETRY_AFTER_1S: Option<Millis> = Some(Millis(1_000));
const RETRY_AFTER_5S: Option<Millis> = Some(Millis(5_000));

const fn response(
    status: u16,
    error_type: &'static str,
    outcome: Outcome,
    retry_after: Option<Millis>,
) -> ErrorResponse {
    ErrorResponse { status, error_type, outcome, retry_after }
}

impl ErrorKind {
    /// All kinds.
    pub const ALL: [Self; 22] = [
        Self::InvalidRequest,
        Self::InvalidToken,
        Self::NotPermitted,
        Self::NotFound,
        Self::TooLarge,
        Self::KeyMissing,
        Self::KeyReused,
        Self::LimitReached,
        Self::Overloaded,
        Self::NoBackend,
        Self::StoreUnavailable,
        Self::ClaimUnreadable,
        Self::DeadlineBeforeRun,
        Self::ShuttingDown,
        Self::Quarantined,
        Self::SuspectedCrash,
        Self::CrashedBackends,
        Self::BackendFailed,
        Self::BackendLost,
        Self::AgentUnreachable,
        Self::AgentReplaced,
        Self::DeadlineWhileRunning,
    ];

    /// The response to this kind of error.
    pub const fn response(self) -> ErrorResponse {
        use Outcome::{NotRun, Ran, Unknown};
        match self {
            Self::InvalidRequest => response(400, "invalid_request_error", NotRun, None),
            Self::InvalidToken => response(401, "authentication_error", NotRun, None),
            Self::NotPermitted => response(403, "permission_error", NotRun, None),
            Self::NotFound => response(404, "not_found_error", NotRun, None),
            Self::TooLarge => response(413, "invalid_request_error", NotRun, None),
            Self::KeyMissing => response(400, "idempotency_error", NotRun, None),
            Self::KeyReused => response(422, "idempotency_error", NotRun, None),
            Self::LimitReached => response(429, "rate_limit_error", NotRun, RETRY_AFTER_1S),
            Self::Overloaded => response(503, "overloaded_error", NotRun, RETRY_AFTER_1S),
            Self::NoBackend => response(503, "overloaded_error", NotRun, RETRY_AFTER_1S),
            Self::StoreUnavailable => response(503, "unavailable_error", NotRun, RETRY_AFTER_5S),
            Self::ClaimUnreadable => response(503, "unavailable_error", Unknown, RETRY_AFTER_5S),
            Self::DeadlineBeforeRun => response(504, "timeout_error", NotRun, RETRY_AFTER_1S),
            Self::ShuttingDown => response(503, "unavailable_error", NotRun, RETRY_AFTER_1S),
            Self::Quarantined => response(422, "quarantine_error", NotRun, None),
            Self::SuspectedCrash => response(503, "quarantine_error", NotRun, RETRY_AFTER_5S),
            Self::CrashedBackends => response(422, "quarantine_error", Unknown, None),
            Self::BackendFailed => response(502, "backend_error", Ran, None),
            Self::BackendLost => response(502, "backend_error", Unknown, None),
            Self::AgentUnreachable => response(503, "unavailable_error", Unknown, RETRY_AFTER_5S),
            Self::AgentReplaced => response(502, "backend_error", Unknown, None),
            Self::DeadlineWhileRunning => response(504, "timeout_error", Unknown, RETRY_AFTER_5S),
        }
    }

    /// Value of the `code` field of the JSON error.
    pub const fn code(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::InvalidToken => "invalid_token",
            Self::NotPermitted => "not_permitted",
            Self::NotFound => "not_found",
            Self::TooLarge => "too_large",
            Self::KeyMissing => "idempotency_key_missing",
            Self::KeyReused => "idempotency_key_reused",
            Self::LimitReached => "limit_reached",
            Self::Overloaded => "overloaded",
            Self::NoBackend => "no_backend",
            Self::StoreUnavailable => "store_unavailable",
            Self::ClaimUnreadable => "claim_unreadable",
            Self::DeadlineBeforeRun => "deadline_before_run",
            Self::ShuttingDown => "shutting_down",
            Self::Quarantined => "quarantined",
            Self::SuspectedCrash => "suspected_crash",
            Self::CrashedBackends => "crashed_backends",
            Self::BackendFailed => "backend_failed",
            Self::BackendLost => "backend_lost",
            Self::AgentUnreachable => "agent_unreachable",
            Self::AgentReplaced => "agent_replaced",
            Self::DeadlineWhileRunning => "deadline_while_running",
        }
    }
}
