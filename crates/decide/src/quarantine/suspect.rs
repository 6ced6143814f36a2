//! What may have caused a crash.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::ids::PromptPart;

/// Something that may have caused the crash of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// The content of one request.
    Request(Fingerprint),
    /// A part of a prompt, in whatever request.
    Part(PromptPart),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => write!(f, "content={request}"),
            Self::Part(part) => write!(f, "part={part}"),
        }
    }
}

/// All suspects that a run on a backend server brings along.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSuspects {
    request: Fingerprint,
    parts: Vec<PromptPart>,
    /// Whether the head of the response has been received.
    begun: bool,
}

impl RunSuspects {
    /// The suspects of a request and of those parts of its prompt that other requests
    /// may have in common with it.
    pub const fn new(request: Fingerprint, parts: Vec<PromptPart>) -> Self {
        Self { request, parts, begun: false }
    }

    /// The suspect of a request whose prompt is not known.
    pub const fn of_request(request: Fingerprint) -> Self {
        Self::new(request, Vec::new())
    }

    /// The same for a run of which the head of the response has been received, or has
    /// not.
    #[must_use]
    pub fn with_begun(self, begun: bool) -> Self {
        Self { begun, ..self }
    }

    /// Whether the head of the response has been received.
    pub const fn has_begun(&self) -> bool {
        self.begun
    }

    /// The request itself.
    pub const fn request(&self) -> Fingerprint {
        self.request
    }

    /// The parts of its prompt.
    pub fn parts(&self) -> &[PromptPart] {
        &self.parts
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.parts.iter().map(|part| Suspect::Part(*part));
        std::iter::once(Suspect::Request(self.request)).chain(parts)
    }

    /// Whether a suspect is among them.
    pub fn contains(&self, suspect: Suspect) -> bool {
        self.iter().any(|known| known == suspect)
    }
}

impl fmt::Display for RunSuspects {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "content={} parts=", self.request)?;
        for (n, part) in self.parts.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
