//! The settlement of an operation.

use clementine_objects::Millis;

use super::RecordedResponse;
use crate::outcome::{ErrorKind, Outcome};

/// Where an answer came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerSource {
    /// This request ran the operation.
    OwnRun,
    /// Another request ran it, and this one attached to its agent.
    Attachment,
    /// The record in the table service.
    Record,
}

/// The settlement of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationResult {
    /// The operation ran once with this answer.
    Answered {
        /// The backend server's answer.
        response: RecordedResponse,
        /// Where the answer came from.
        source: AnswerSource,
    },
    /// The request is given up on.
    Failed {
        /// Why.
        kind: ErrorKind,
        /// When to ask again, where the agent or the store said so.
        retry_after: Option<Millis>,
    },
}

impl OperationResult {
    pub(super) const fn failed(kind: ErrorKind) -> Self {
        Self::Failed { kind, retry_after: kind.response().retry_after }
    }

    /// What became of the operation.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Answered { .. } => Outcome::Ran,
            Self::Failed { kind, .. } => kind.response().outcome,
        }
    }
}
