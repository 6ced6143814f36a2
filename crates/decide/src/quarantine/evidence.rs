//! What tells that a backend server crashed while it ran a request.

use clementine_objects::Millis;
use serde::{Deserialize, Serialize};

use crate::fleet::{BackendIncarnation, ProbeResult};
use crate::ids::Tick;

/// Time for which a server that cannot be reached counts, unless it turns out to be
/// gone. It may just be cut off from this entry.
pub const SILENCE_TTL: Millis = Millis(10_000);

/// How certain it is that a server has crashed, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// No connection to it is established: it may just be unreachable.
    Silent,
    /// It is gone and not listed any more: it may have left on purpose.
    Gone,
    /// No process listens on its address although it is listed, or another process
    /// has taken its place.
    Certain,
}

/// A server that crashed, or may have, while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) server: BackendIncarnation,
    pub(super) evidence: CrashEvidence,
    pub(super) at: Tick,
}

impl Crash {
    /// Whether another observation of the same server says more than this one.
    pub(super) fn is_superseded_by(&self, other: &Self) -> bool {
        let again = !self.counts(other.at) && other.at > self.at;
        other.evidence > self.evidence || again
    }

    /// Whether the crash still counts.
    pub(super) fn counts(&self, now: Tick) -> bool {
        self.evidence > CrashEvidence::Silent || now.since(self.at) < SILENCE_TTL
    }
}

/// How a run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossKind {
    /// Its connection ended before the response did.
    BrokenOff,
    /// There was no response in time.
    NoResponse,
}

/// How a server is listed some time after a run on it was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// As before.
    Listed,
    /// As before, and it has responded to another request since the lost one was sent.
    Responding,
    /// Draining: it ends on purpose.
    Draining,
    /// Another process has taken its place under its id.
    Replaced,
    /// Not any more.
    Unlisted,
}

/// What the loss of a run says about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossVerdict {
    /// The server has not crashed, or ended on purpose.
    NotCrashed,
    /// The server has crashed, or may have.
    Crashed(CrashEvidence),
    /// The server accepts connections. Whether it is the same process as before shows
    /// when it writes its row the next time.
    Undecided,
}

/// Judges the loss of a run by how its server is listed and by an attempt to connect
/// to it.
pub const fn judge_loss(loss: LossKind, listing: Listing, probe: ProbeResult) -> LossVerdict {
    use CrashEvidence::{Certain, Gone, Silent};
    match (listing, probe) {
        (Listing::Draining, _) => LossVerdict::NotCrashed,
        (Listing::Replaced, _) => LossVerdict::Crashed(Certain),
        (Listing::Unlisted, ProbeResult::Connected) => LossVerdict::NotCrashed,
        (Listing::Unlisted, _) => LossVerdict::Crashed(Gone),
        (_, ProbeResult::Refused) => LossVerdict::Crashed(Certain),
        (_, ProbeResult::Connected) => match loss {
            LossKind::BrokenOff => LossVerdict::Undecided,
            LossKind::NoResponse => LossVerdict::NotCrashed,
        },
        (Listing::Responding, ProbeResult::TimedOut) => LossVerdict::NotCrashed,
        (Listing::Listed, ProbeResult::TimedOut) => LossVerdict::Crashed(Silent),
    }
}
