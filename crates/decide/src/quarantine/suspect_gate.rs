//! Admission of suspected requests to a backend server, one at a time.

/// Admits suspected requests to one backend server so that each crash can be
/// attributed to one of them.
///
/// Invariant: no suspect is admitted while another one runs, or between the loss
/// of a run and the proof that the backend server is alive. Without the second
/// condition, a suspect could be sent to a server that has already crashed, and
/// the same crash would be counted against it.
#[derive(Debug, Default)]
pub struct SuspectGate {
    running: bool,
    liveness_unproven: bool,
}

impl SuspectGate {
    /// Admits a suspect unless the gate is closed. An admitted suspect must be
    /// reported as ended by [`Self::record_end`].
    pub const fn try_admit(&mut self) -> bool {
        if !self.is_open() {
            return false;
        }
        self.running = true;
        true
    }

    /// Whether a suspect would be admitted.
    pub const fn is_open(&self) -> bool {
        !self.running && !self.liveness_unproven
    }

    /// Records that the admitted suspect has ended.
    pub const fn record_end(&mut self) {
        self.running = false;
    }

    /// Records that the backend server broke off a run. Returns whether the
    /// caller has to check that the server is alive; it does not if an earlier
    /// check is still in progress.
    pub const fn record_loss(&mut self) -> bool {
        let check_needed = !self.liveness_unproven;
        self.liveness_unproven = true;
        check_needed
    }

    /// Records that the backend server was found alive after the last loss.
    pub const fn record_alive(&mut self) {
        self.liveness_unproven = false;
    }
}
