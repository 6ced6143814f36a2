//! The result of an operation.

use clementine_objects::Millis;

use super::RecordedResponse;
use crate::outcome::{ErrorKind, Outcome};

/// Source of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerSource {
    /// This request executed the operation.
    OwnRun,
    /// This request attached to the agent that executed the operation.
    Attachment,
    /// The claim row in the table service.
    Record,
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationResult {
    /// The operation was executed once, with this response.
    Answered {
        /// The backend server's response.
        response: RecordedResponse,
        /// Source of the response.
        source: AnswerSource,
    },
    /// The request failed.
    Failed {
        /// Kind of failure.
        kind: ErrorKind,
        /// Retry delay: the agent's if it gave one, else the default of the kind.
        retry_after: Option<Millis>,
    },
}

impl OperationResult {
    pub(super) const fn failed(kind: ErrorKind) -> Self {
        Self::Failed { kind, retry_after: kind.response().retry_after }
    }

    /// Whether the operation was executed.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Answered { .. } => Outcome::Ran,
            Self::Failed { kind, .. } => kind.response().outcome,
        }
    }
}
