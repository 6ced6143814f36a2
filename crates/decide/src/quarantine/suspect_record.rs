//! Evidence for and against one suspect.

use super::evidence::{Crash, CrashEvidence};
use super::records::CrashRecord;
use super::{QuarantineLimits, Suspect};
use crate::fleet::BackendIncarnation;
use crate::ids::Tick;

/// Maximum number of servers that are kept for one suspect.
const MAX_SERVERS: usize = 16;
/// Number of crashes at which a part of a prompt is refused that never got a response.
/// One more than for a request: other requests with the part lose as well.
const PART_CRASHES: usize = 3;
/// Number of crashes since the last response at which a part is refused that got one
/// before.
const PART_CRASHES_SINCE_RESPONSE: usize = 5;

/// How much more often parts are reported than requests: there are fewer of them, and
/// many requests have one in common.
const PART_REPORT_FACTOR: u32 = 4;
/// Rank of a suspect that has not been reported, without any crash.
const FIRST_REPORT_RANK: u32 = PART_REPORT_FACTOR * MAX_SERVERS as u32;

/// Evidence for and against one suspect.
#[derive(Debug, Clone)]
pub(super) struct SuspectRecord {
    /// Servers that crashed under it, each once, at most [`MAX_SERVERS`].
    pub(super) crashes: Vec<Crash>,
    /// When it last got a response: a complete one for a request, the beginning of one
    /// for a part.
    pub(super) last_response: Option<Tick>,
    pub(super) last_crash: Tick,
    /// Number of reports that included this suspect in its present state.
    pub(super) reported: u32,
    /// Whether a run with it broke off between the head of its response and the first
    /// event. The runs that wait for their turn when a server crashes have no head.
    pub(super) began: bool,
    /// Whether another entry has reported it without knowing of the response.
    pub(super) contested: bool,
    /// From when on the next request with it is let through, if it is refused.
    pub(super) next_probe: Option<Tick>,
}

impl SuspectRecord {
    /// Record of a suspect under which no server has crashed yet.
    pub(super) const fn new(last_response: Option<Tick>) -> Self {
        Self {
            crashes: Vec::new(),
            last_response,
            last_crash: Tick(0),
            reported: 0,
            began: false,
            contested: false,
            next_probe: None,
        }
    }

    /// Adds a server, or what is known of it in addition. Returns whether that changes
    /// anything.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let is_full = self.crashes.len() == MAX_SERVERS;
        match self.crashes.iter_mut().find(|known| known.server == crash.server) {
            Some(known) if known.is_superseded_by(&crash) => *known = crash,
            Some(_) => return false,
            None if is_full => return false,
            None => self.crashes.push(crash),
        }
        self.last_crash = self.last_crash.max(crash.at);
        self.reported = 0;
        true
    }

    /// Records a response, of which other entries are told if crashes counted until then.
    pub(super) fn record_response(&mut self, at: Tick) {
        let counted = self.counted(at).next().is_some();
        self.last_response = self.last_response.max(Some(at));
        if counted {
            self.reported = 0;
            self.contested = true;
        }
    }

    /// The crashes since the last response that still count.
    pub(super) fn counted(&self, now: Tick) -> impl Iterator<Item = &Crash> {
        let since = self.last_response;
        let is_later = move |crash: &&Crash| since.is_none_or(|response| crash.at > response);
        self.crashes.iter().filter(is_later).filter(move |crash| crash.counts(now))
    }

    /// Rank among the suspects that are due to be reported, the lowest first: parts
    /// before requests and before parts of runs that had not begun, and parts with many
    /// crashes before others.
    pub(super) fn report_rank(&self, suspect: Suspect, now: Tick) -> u32 {
        match suspect {
            Suspect::Part(_) if self.began => {
                let crashes = self.counted(now).count() as u32;
                (FIRST_REPORT_RANK + self.reported / PART_REPORT_FACTOR)
                    .saturating_sub(crashes * PART_REPORT_FACTOR)
            }
            Suspect::Part(_) | Suspect::Request(_) => FIRST_REPORT_RANK + self.reported,
        }
    }

    /// Number of counted crashes that are certain.
    pub(super) fn certain(&self, now: Tick) -> usize {
        self.counted(now).filter(|crash| crash.evidence == CrashEvidence::Certain).count()
    }

    /// Whether as many servers crashed as the limit says, or one more if it is not
    /// certain that they did.
    pub(super) fn is_at_limit(
        &self,
        suspect: Suspect,
        limits: QuarantineLimits,
        now: Tick,
    ) -> bool {
        let limit = self.limit(suspect, limits);
        limit.is_some_and(|limit| self.certain(now) >= limit || self.counted(now).count() > limit)
    }

    /// Whether the crash of a server, if it were certain, would reach the limit.
    pub(super) fn is_near_limit(
        &self,
        suspect: Suspect,
        server: BackendIncarnation,
        limits: QuarantineLimits,
        now: Tick,
    ) -> bool {
        let limit = self.limit(suspect, limits);
        let others = || self.counted(now).filter(|crash| crash.server != server);
        let counted = others().count() + 1;
        let certain = others().filter(|crash| crash.evidence == CrashEvidence::Certain).count() + 1;
        limit.is_some_and(|limit| certain >= limit || counted > limit)
    }

    /// Whether a crash counts against the suspect.
    pub(super) fn is_suspected(
        &self,
        suspect: Suspect,
        limits: QuarantineLimits,
        now: Tick,
    ) -> bool {
        self.limit(suspect, limits).is_some() && self.counted(now).next().is_some()
    }

    /// Number of crashes at which the suspect is refused; `None` if it never is. A
    /// request that has completed is not the cause, whatever crashed under it. A part
    /// is in many requests, so that later crashes may tell otherwise.
    fn limit(&self, suspect: Suspect, limits: QuarantineLimits) -> Option<usize> {
        match (suspect, self.last_response) {
            (Suspect::Request(_), None) => Some(limits.crashes as usize),
            (Suspect::Request(_), Some(_)) => None,
            (Suspect::Part(_), None) => Some(PART_CRASHES),
            (Suspect::Part(_), Some(_)) => Some(PART_CRASHES_SINCE_RESPONSE),
        }
    }

    /// Whether every counted crash of `other` is one of this suspect as well.
    pub(super) fn covers(&self, other: &Self, now: Tick) -> bool {
        let crashed = |crash: &Crash| self.counted(now).any(|own| own.server == crash.server);
        other.counted(now).all(crashed)
    }
}

impl CrashRecord for SuspectRecord {
    fn last_crash(&self) -> Tick {
        self.last_crash
    }
}
