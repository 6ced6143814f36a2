//! What the crash log says of requests and suspects.

use clementine_objects::Millis;

use super::Suspect;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Nothing speaks against it.
    Admitted,
    /// The suspect is refused, but this request is let through to learn whether it is
    /// the cause.
    Probe(Suspect),
    /// The suspect is refused.
    Refused(Refusal),
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The suspect.
    pub suspect: Suspect,
    /// Whether some requests with the suspect are let through as probes.
    pub is_probed: bool,
    /// Time after which trying again may help.
    pub retry_delay: Millis,
}

/// A change that other entries are told at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectChange {
    /// The suspect is refused from now on.
    Quarantined(Suspect),
    /// There is more evidence against the suspect.
    Advanced(Suspect),
    /// The suspect was refused, and a response to a request with it has begun now.
    Cleared(Suspect),
}

impl SuspectChange {
    /// The suspect that changed.
    pub const fn suspect(self) -> Suspect {
        match self {
            Self::Quarantined(suspect) | Self::Advanced(suspect) | Self::Cleared(suspect) => {
                suspect
            }
        }
    }
}

/// What the crash of a server changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedCrash {
    /// Whether the crash was not known for all suspects.
    pub is_new: bool,
    /// Changes of single suspects.
    pub changes: Vec<SuspectChange>,
}
